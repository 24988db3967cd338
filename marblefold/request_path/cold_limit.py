"""Limits how many requests a cold target receives within any second."""

from collections import deque

__all__ = ["ColdLimit"]

_WINDOW_SECONDS = 1.0
# The target may see a request slightly earlier or later than this process does.
_CLOCK_TOLERANCE_SECONDS = 0.05


class ColdLimit:
    """A sliding-window rate limit, enforced only while the target is cold.

    Requests are counted at all times, so that the window is known when the target goes cold.

    All times are seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self.cold_until = 0.0
        self._arrivals: deque[float] = deque()
        self._assumed_full_until = 0.0

    def assume_window_full(self, now: float) -> None:
        """Treats the current window as full: after a start its arrivals are unknown."""
        self._assumed_full_until = now + _WINDOW_SECONDS + _CLOCK_TOLERANCE_SECONDS

    def may_offer(self, now: float, max_per_second: float) -> bool:
        """Whether one more request may go to the target now; if so, it is counted.

        `max_per_second` is the number of requests allowed within a second.
        """
        self._discard_expired(now)
        if not self.has_room(now, max_per_second):
            return False
        self.note_offer(now)
        return True

    def note_offer(self, now: float) -> None:
        """Counts a request that goes to the target regardless of the limit."""
        self._arrivals.append(now)

    def has_room(self, now: float, max_per_second: float) -> bool:
        """Whether one more request may go to the target now; it is not counted."""
        if now >= self.cold_until:
            return True
        return self.used(now, max_per_second) + 1 <= max_per_second

    def used(self, now: float, max_per_second: float) -> float:
        """How many of the `max_per_second` requests of the window are used up."""
        assumed = max_per_second if now < self._assumed_full_until else 0.0
        return self.count(now) + assumed

    def count(self, now: float) -> int:
        """The number of requests that went to the target within the window."""
        self._discard_expired(now)
        return len(self._arrivals)

    def retry_after(self, now: float) -> float:
        """The seconds until the window has room again."""
        if not self._arrivals:
            return max(0.05, self._assumed_full_until - now)
        return max(0.05, self._arrivals[0] + _WINDOW_SECONDS + _CLOCK_TOLERANCE_SECONDS - now)

    def _discard_expired(self, now: float) -> None:
        while (
            self._arrivals and now - self._arrivals[0] > _WINDOW_SECONDS + _CLOCK_TOLERANCE_SECONDS
        ):
            self._arrivals.popleft()
