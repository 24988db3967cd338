"""Limits how many requests a cold target is offered within any second."""

from collections import deque

__all__ = ["ColdLimit"]

_WINDOW_SECONDS = 1.0
# The target's clock and ours may place an arrival slightly apart.
_EDGE_SECONDS = 0.05


class ColdLimit:
    """A sliding window of arrivals: always counted, enforced only while the target is cold.

    All times are seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self.cold_until = 0.0
        self._arrivals: deque[float] = deque()
        self._assumed_full_until = 0.0

    def assume_window_full(self, now: float) -> None:
        """Counts the current window as used up: after a start its arrivals are unknown."""
        self._assumed_full_until = now + _WINDOW_SECONDS + _EDGE_SECONDS

    def may_offer(self, now: float, most: float) -> bool:
        """Whether one more request may go to the target now; if so, it is counted.

        `most` is the number of requests allowed within a second.
        """
        self._forget(now)
        if not self.has_room(now, most):
            return False
        self.note_offer(now)
        return True

    def note_offer(self, now: float) -> None:
        """Counts what goes to the target in any case."""
        self._arrivals.append(now)

    def has_room(self, now: float, most: float) -> bool:
        """Whether one more request may go to the target now; it is not counted."""
        if now >= self.cold_until:
            return True
        return self.used(now, most) + 1 <= most

    def used(self, now: float, most: float) -> float:
        """How much of the window's `most` is used up."""
        assumed = most if now < self._assumed_full_until else 0.0
        return self.count(now) + assumed

    def count(self, now: float) -> int:
        """How many requests went to the target within the window."""
        self._forget(now)
        return len(self._arrivals)

    def retry_after(self, now: float) -> float:
        """In how many seconds the window has room again."""
        if not self._arrivals:
            return max(0.05, self._assumed_full_until - now)
        return max(0.05, self._arrivals[0] + _WINDOW_SECONDS + _EDGE_SECONDS - now)

    def _forget(self, now: float) -> None:
        while self._arrivals and now - self._arrivals[0] > _WINDOW_SECONDS + _EDGE_SECONDS:
            self._arrivals.popleft()
