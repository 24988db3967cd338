"""Work on a disk that may hang, on a thread that holds up nobody.

A program that needs no disk for its duties must serve on while the disk
answers nothing, and must be able to end: the thread is a daemon, which the
interpreter does not wait for.
"""

import queue
import threading
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

__all__ = ["DiskThread"]


class DiskThread:
    """Runs one piece of work after the other, in the order they came."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._work: queue.SimpleQueue[tuple[Future, Callable[[], Any]]] = queue.SimpleQueue()
        self._thread: threading.Thread | None = None

    def submit(self, work: Callable[[], Any]) -> Future:
        """The result to come; work whose future is cancelled in time is left out."""
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name=self._name, daemon=True)
            self._thread.start()
        future: Future = Future()
        self._work.put((future, work))
        return future

    def _run(self) -> None:
        while True:
            future, work = self._work.get()
            if not future.set_running_or_notify_cancel():
                continue
            try:
                future.set_result(work())
            except BaseException as error:
                future.set_exception(error)
