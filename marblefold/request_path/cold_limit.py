"""Holds a cold target to what it bears within any second."""

from collections import deque

__all__ = ["ColdLimit"]

_WINDOW_SECONDS = 1.0
# Both clocks, the target's and ours, may place an arrival a little apart.
_EDGE_SECONDS = 0.05


class ColdLimit:
    """A sliding window of arrivals, counted always, binding while cold."""

    def __init__(self) -> None:
        self.cold_until = 0.0
        self._arrivals: deque[float] = deque()
        self._spent_until = 0.0

    def assume_spent(self, now: float) -> None:
        """After our own start nobody knows what this second already held."""
        self._spent_until = now + _WINDOW_SECONDS + _EDGE_SECONDS

    def may_offer(self, now: float, most: float) -> bool:
        """Whether one more may go to the target now; if so it is counted."""
        self._forget(now)
        if now < self.cold_until:
            if now < self._spent_until or len(self._arrivals) + 1 > most:
                return False
        self._arrivals.append(now)
        return True

    def retry_after(self, now: float) -> float:
        """When the window will have room again."""
        if not self._arrivals:
            return max(0.05, self._spent_until - now)
        return max(0.05, self._arrivals[0] + _WINDOW_SECONDS + _EDGE_SECONDS - now)

    def _forget(self, now: float) -> None:
        while self._arrivals and now - self._arrivals[0] > _WINDOW_SECONDS + _EDGE_SECONDS:
            self._arrivals.popleft()
