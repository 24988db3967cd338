"""Limits how many requests a target processes at once; the rest queue briefly."""

import asyncio
import heapq
import itertools
from typing import NamedTuple

__all__ = ["SlotQueue", "Turn"]

_LEARN = 0.1


class Turn(NamedTuple):
    """The order of the queue: lower rank first, then earlier end (monotonic seconds)."""

    rank: int
    end: float


class SlotQueue:
    """Slots granted in the order of turns."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.running = 0
        self._service_seconds = 0.05
        self._order = itertools.count()
        self._waiting: list[tuple[Turn, int, asyncio.Future]] = []

    @property
    def service_seconds(self) -> float:
        """The learned service time of a request, in seconds."""
        return self._service_seconds

    @property
    def waiting(self) -> int:
        """How many wait for a slot."""
        return sum(1 for _turn, _order, future in self._waiting if not future.done())

    def expected_wait(self, turn: Turn) -> float:
        """The expected wait of a request with that turn, in seconds."""
        if self.running < self.limit:
            return 0.0
        # Only requests that go first delay it.
        ahead = sum(
            1 for other, _order, future in self._waiting if other <= turn and not future.done()
        )
        return (ahead + 1) * self._service_seconds / max(1, self.limit)

    def note_service(self, seconds: float) -> None:
        """Records the service time of a request, in seconds."""
        self._service_seconds += _LEARN * (seconds - self._service_seconds)

    async def take(self, turn: Turn, longest: float) -> bool:
        """Waits for a slot at most `longest` seconds; returns whether it was granted."""
        if self.running < self.limit:
            self.running += 1
            return True
        # A wait that cannot end in time is refused at once.
        if longest <= 0 or self.expected_wait(turn) > longest:
            return False
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (turn, next(self._order), future))
        try:
            async with asyncio.timeout(longest):
                await future
            return True
        except TimeoutError:
            # The slot may have come at the same moment.
            return _was_granted(future)
        except asyncio.CancelledError:
            if _was_granted(future):
                self.give_back()
            raise

    def give_back(self) -> None:
        """Releases a slot to the next request in order."""
        self.running -= 1
        self._hand_out()

    def set_limit(self, limit: int) -> None:
        """Sets how many requests the target processes at once."""
        self.limit = max(1, limit)
        self._hand_out()

    def _hand_out(self) -> None:
        while self._waiting and self.running < self.limit:
            _turn, _order, future = heapq.heappop(self._waiting)
            # A request that left the queue is still in the heap, marked as done.
            if future.done():
                continue
            self.running += 1
            future.set_result(None)


def _was_granted(future: asyncio.Future) -> bool:
    if future.done() and not future.cancelled():
        return True
    future.cancel()
    return False
