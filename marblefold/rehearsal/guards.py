"""A guard in a rehearsal: slots and a queue, assigned as the real guard does."""

import heapq
import itertools
from collections.abc import Callable

from marblefold.request_path.cold_limit import ColdLimit
from marblefold.request_path.mesh_view import KnownTarget
from marblefold.request_path.outcome import TargetLoad
from marblefold.request_path.slot_queue import QueuePriority

__all__ = ["RehearsedGuard"]


class RehearsedGuard:
    """Slots and queue of one target; `service_seconds` is its mean time for a request."""

    def __init__(self, target: KnownTarget, service_seconds: float) -> None:
        self.target = target
        self.service_seconds = service_seconds
        self.running = 0
        self.cold = ColdLimit()
        self.cold.cold_until = target.cold_until
        self._order = itertools.count()
        self._waiting: list[tuple[QueuePriority, int, Callable[[], None]]] = []
        self._left: set[int] = set()

    @property
    def load(self) -> TargetLoad:
        """The load that goes with every answer."""
        return TargetLoad(self.running, self.waiting, self.target.slots)

    @property
    def waiting(self) -> int:
        """How many requests wait for a slot."""
        return len(self._waiting) - len(self._left)

    def expected_wait(self, turn: QueuePriority) -> float:
        """Expected wait in seconds of a request with that turn."""
        if self.running < self.target.slots:
            return 0.0
        ahead = sum(
            1
            for other, number, _start in self._waiting
            if other <= turn and number not in self._left
        )
        return (ahead + 1) * self.service_seconds / self.target.slots

    def take(self, turn: QueuePriority, longest: float, start: Callable[[], None]) -> int | None:
        """Starts the request now (-1), queues it (its number), or refuses it (None).

        `longest` is the longest acceptable wait in seconds.
        """
        if self.running < self.target.slots:
            self.running += 1
            start()
            return -1
        if longest <= 0 or self.expected_wait(turn) > longest:
            return None
        number = next(self._order)
        heapq.heappush(self._waiting, (turn, number, start))
        return number

    def leave(self, number: int) -> bool:
        """Takes a request out of the queue; whether it was still there."""
        if any(number == other for _turn, other, _start in self._waiting) and (
            number not in self._left
        ):
            self._left.add(number)
            return True
        return False

    def give_back(self) -> None:
        """Frees a slot and starts the next request in order."""
        self.running -= 1
        while self._waiting and self.running < self.target.slots:
            _turn, number, start = heapq.heappop(self._waiting)
            if number in self._left:
                self._left.discard(number)
                continue
            self.running += 1
            start()
