"""Limits the concurrent requests of a target and queues the others for a short time."""

import asyncio
import heapq
import itertools
from typing import NamedTuple

__all__ = ["SlotQueue", "QueuePriority"]

# Weight of the newest sample in the moving average of service times.
_SERVICE_TIME_WEIGHT = 0.1
_INITIAL_SERVICE_SECONDS = 0.05


class QueuePriority(NamedTuple):
    """The order of the queue: lower rank first, then earlier `due_at` (monotonic seconds)."""

    rank: int
    due_at: float


class SlotQueue:
    """A counting semaphore that grants slots in the order of priority."""

    def __init__(self, limit: int, service_seconds: float = _INITIAL_SERVICE_SECONDS) -> None:
        """`service_seconds` is the expected service time until some have been recorded."""
        self.limit = limit
        self.running = 0
        self._service_seconds = service_seconds
        self._order = itertools.count()
        self._waiting: list[tuple[QueuePriority, int, asyncio.Future]] = []

    @property
    def service_seconds(self) -> float:
        """The moving average of the service time of a request, in seconds."""
        return self._service_seconds

    @property
    def waiting(self) -> int:
        """The number of requests waiting for a slot."""
        return sum(1 for _priority, _order, future in self._waiting if not future.done())

    def expected_wait(self, priority: QueuePriority) -> float:
        """The expected wait of a request with that priority, in seconds."""
        if self.running < self.limit:
            return 0.0
        # Only requests ahead of it in the queue delay it.
        ahead = sum(
            1 for other, _order, future in self._waiting if other <= priority and not future.done()
        )
        return (ahead + 1) * self._service_seconds / max(1, self.limit)

    def note_service(self, seconds: float) -> None:
        """Records the service time of a request, in seconds."""
        self._service_seconds += _SERVICE_TIME_WEIGHT * (seconds - self._service_seconds)

    async def acquire(self, priority: QueuePriority, max_wait_seconds: float) -> bool:
        """Waits for a slot up to `max_wait_seconds`; returns whether it was granted."""
        if self.running < self.limit:
            self.running += 1
            return True
        # Refused at once if a slot is not expected to become free in time.
        if max_wait_seconds <= 0 or self.expected_wait(priority) > max_wait_seconds:
            return False
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._order), future))
        try:
            async with asyncio.timeout(max_wait_seconds):
                await future
            return True
        except TimeoutError:
            # The slot may have been granted at the same moment.
            return _was_granted(future)
        except asyncio.CancelledError:
            if _was_granted(future):
                self.release()
            raise

    def release(self) -> None:
        """Releases a slot and grants it to the next request in order."""
        self.running -= 1
        self._grant_free_slots()

    def set_limit(self, limit: int) -> None:
        """Sets how many requests the target may process at once."""
        self.limit = max(1, limit)
        self._grant_free_slots()

    def _grant_free_slots(self) -> None:
        while self._waiting and self.running < self.limit:
            _priority, _order, future = heapq.heappop(self._waiting)
            # Requests that stopped waiting stay in the heap with a finished future.
            if future.done():
                continue
            self.running += 1
            future.set_result(None)


def _was_granted(future: asyncio.Future) -> bool:
    if future.done() and not future.cancelled():
        return True
    future.cancel()
    return False
