"""Runs disk operations, which may hang, on a thread that blocks nothing else.

A program that needs no disk for its core tasks must keep serving while the disk
does not respond, and must be able to exit: the thread is a daemon thread, which
the interpreter does not wait for.
"""

import queue
import threading
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

__all__ = ["DiskThread"]


class DiskThread:
    """Runs operations one at a time, in the order in which they were submitted."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._queue: queue.SimpleQueue[tuple[Future, Callable[[], Any]]] = queue.SimpleQueue()
        self._thread: threading.Thread | None = None

    def submit(self, operation: Callable[[], Any]) -> Future:
        """Returns the future of the result; an operation cancelled before it starts is skipped."""
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name=self._name, daemon=True)
            self._thread.start()
        future: Future = Future()
        self._queue.put((future, operation))
        return future

    def _run(self) -> None:
        while True:
            future, operation = self._queue.get()
            if not future.set_running_or_notify_cancel():
                continue
            try:
                future.set_result(operation())
            except BaseException as error:
                future.set_exception(error)
