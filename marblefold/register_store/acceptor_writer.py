"""Runs the acceptor's durable operations, which wait for the disk, beside the event loop.

Reads of other stores are answered from what is durable, meanwhile.  A disk that hangs must
still make its store silent, so that the others replace it: see `wait_while_hung`.
"""

import asyncio
import time
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any, Protocol, TypeVar

from marblefold.disk_thread import DiskThread

__all__ = ["AcceptorWriter", "InlineWriter", "ThreadWriter"]

# A store with a slower disk would hold up each change, so it counts as unreachable.
_HUNG_SECONDS = 1.0

Result = TypeVar("Result")


class AcceptorWriter(Protocol):
    """Runs operations on the acceptor one at a time, in order."""

    @property
    def is_busy(self) -> bool: ...

    async def run(self, operation: Callable[[], Result]) -> Result: ...

    def submit(self, operation: Callable[[], None]) -> None: ...

    def wait_while_hung(self) -> None: ...


class InlineWriter:
    """Runs each operation at once in the calling thread."""

    is_busy = False

    async def run(self, operation: Callable[[], Result]) -> Result:
        """Returns the result of the operation, or raises its error."""
        return operation()

    def submit(self, operation: Callable[[], None]) -> None:
        """Runs an operation that handles its own errors."""
        operation()

    def wait_while_hung(self) -> None:
        """Nothing hangs: each operation has ended."""


class ThreadWriter:
    """Runs the operations on a thread of their own."""

    def __init__(self, hung_seconds: float = _HUNG_SECONDS) -> None:
        self._hung_seconds = hung_seconds
        self._thread = DiskThread("acceptor")
        # The operations that have not ended, oldest first, and when each was submitted.
        self._pending: dict[Future[Any], float] = {}

    @property
    def is_busy(self) -> bool:
        """Whether an operation has not ended."""
        self._forget_ended()
        return bool(self._pending)

    async def run(self, operation: Callable[[], Result]) -> Result:
        """Returns the result of the operation, or raises its error."""
        result: Result = await asyncio.wrap_future(self._submit(operation))
        return result

    def submit(self, operation: Callable[[], None]) -> None:
        """Runs an operation that handles its own errors."""
        self._submit(operation)

    def wait_while_hung(self) -> None:
        """Blocks the calling thread while the oldest operation waits for too long."""
        self._forget_ended()
        for future, submitted_at in list(self._pending.items()):
            if time.monotonic() - submitted_at < self._hung_seconds:
                return
            # Its error, if any, is for the one who submitted it.
            if not future.cancelled():
                future.exception()

    def _submit(self, operation: Callable[[], Result]) -> "Future[Result]":
        self._forget_ended()
        future: Future[Result] = self._thread.submit(operation)
        self._pending[future] = time.monotonic()
        return future

    def _forget_ended(self) -> None:
        while self._pending and (oldest := next(iter(self._pending))).done():
            del self._pending[oldest]
