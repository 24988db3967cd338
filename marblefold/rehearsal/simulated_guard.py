"""Simulates the guard beside a target: concurrency slots and a queue in the order of priority."""

import heapq
import itertools
from collections.abc import Callable

from marblefold.request_path.cold_limit import ColdLimit
from marblefold.request_path.mesh_view import KnownTarget
from marblefold.request_path.outcome import TargetLoad
from marblefold.request_path.slot_queue import QueuePriority

__all__ = ["SimulatedGuard"]


class SimulatedGuard:
    """The slots and the queue of one target, granted as the real guard grants them.

    `service_seconds` is the mean service time of a request.
    """

    def __init__(self, target: KnownTarget, service_seconds: float) -> None:
        self.target = target
        self.service_seconds = service_seconds
        self.running = 0
        self.cold_limit = ColdLimit()
        self.cold_limit.cold_until = target.cold_until
        self._numbers = itertools.count()
        self._waiting: list[tuple[QueuePriority, int, Callable[[], None]]] = []
        self._cancelled: set[int] = set()

    @property
    def load(self) -> TargetLoad:
        """The load reported with every answer."""
        return TargetLoad(self.running, self.waiting, self.target.slots)

    @property
    def waiting(self) -> int:
        """The number of requests waiting for a slot."""
        return len(self._waiting) - len(self._cancelled)

    def expected_wait(self, priority: QueuePriority) -> float:
        """The expected wait of a request with that priority, in seconds."""
        if self.running < self.target.slots:
            return 0.0
        ahead = sum(
            1
            for other, number, _start in self._waiting
            if other <= priority and number not in self._cancelled
        )
        return (ahead + 1) * self.service_seconds / self.target.slots

    def submit(
        self, priority: QueuePriority, max_wait_seconds: float, start: Callable[[], None]
    ) -> int | None:
        """Starts, queues or refuses a request; `max_wait_seconds` is the longest acceptable wait.

        Returns -1 if the request has started, its number in the queue if it waits, and None if
        it is refused because no slot is expected to become free in time.
        """
        if self.running < self.target.slots:
            self.running += 1
            start()
            return -1
        if max_wait_seconds <= 0 or self.expected_wait(priority) > max_wait_seconds:
            return None
        number = next(self._numbers)
        heapq.heappush(self._waiting, (priority, number, start))
        return number

    def cancel(self, number: int) -> bool:
        """Removes a request from the queue; returns whether it was still waiting."""
        if any(number == other for _priority, other, _start in self._waiting) and (
            number not in self._cancelled
        ):
            self._cancelled.add(number)
            return True
        return False

    def release(self) -> None:
        """Releases a slot and starts the next request in order."""
        self.running -= 1
        while self._waiting and self.running < self.target.slots:
            _priority, number, start = heapq.heappop(self._waiting)
            if number in self._cancelled:
                self._cancelled.discard(number)
                continue
            self.running += 1
            start()
