"""Lets only so many requests to a target at once; the rest queue briefly."""

import asyncio
import heapq
import itertools

__all__ = ["SlotQueue"]

_LEARN = 0.1


class SlotQueue:
    """Slots handed out by priority, then by deadline."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.running = 0
        self._service_seconds = 0.05
        self._order = itertools.count()
        self._waiting: list[tuple[int, float, int, asyncio.Future]] = []
        self._waiting_count = 0

    @property
    def waiting(self) -> int:
        """How many wait for a slot."""
        return self._waiting_count

    @property
    def expected_wait(self) -> float:
        """How long one more would likely wait."""
        if self.running < self.limit and not self._waiting_count:
            return 0.0
        return (self._waiting_count + 1) * self._service_seconds / max(1, self.limit)

    def note_service(self, seconds: float) -> None:
        """A request took the target so long."""
        self._service_seconds += _LEARN * (seconds - self._service_seconds)

    async def take(self, priority: int, deadline: float, longest: float) -> bool:
        """Waits for a slot, at most so long; tells whether it was had."""
        if self.running < self.limit and not self._waiting_count:
            self.running += 1
            return True
        # A wait that cannot end in time is refused now: early costs least.
        if longest <= 0 or self.expected_wait > longest:
            return False
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, deadline, next(self._order), future))
        self._waiting_count += 1
        try:
            async with asyncio.timeout(longest):
                await future
            return True
        except TimeoutError:
            return self._leave(future)
        except asyncio.CancelledError:
            if self._leave(future):
                self.give_back()
            raise

    def give_back(self) -> None:
        """A slot is free: the next in order has it."""
        self.running -= 1
        self._hand_out()

    def set_limit(self, limit: int) -> None:
        """The target told how many it works on at once."""
        self.limit = max(1, limit)
        self._hand_out()

    def _leave(self, future: asyncio.Future) -> bool:
        """Leaves the queue; true if the slot came at the same moment."""
        if future.done() and not future.cancelled():
            return True
        future.cancel()
        self._waiting_count -= 1
        return False

    def _hand_out(self) -> None:
        while self._waiting and self.running < self.limit:
            _priority, _deadline, _order, future = heapq.heappop(self._waiting)
            # Whoever left the queue is still in the heap, marked as done.
            if future.done():
                continue
            self._waiting_count -= 1
            self.running += 1
            future.set_result(None)
