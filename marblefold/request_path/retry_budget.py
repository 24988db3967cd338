"""Each proxy's share of the budget for further tries.

Nothing central is asked on the path: a proxy may spend a part of the ratio
on the requests that it saw itself, and an even part of the slack.
"""

from collections import deque
from datetime import timedelta

__all__ = ["RetryBudget", "WindowCount"]

# Calls of a run that was itself a repeat count as repeats too, and cannot
# all be told apart here; what is left unspent covers them.
_SPENT_SHARE = 0.5
_BUCKETS = 20


class WindowCount:
    """Counts events of a sliding window in small buckets."""

    def __init__(self, window: float) -> None:
        self._bucket = window / _BUCKETS
        self._window = window
        self._counts: deque[list] = deque()
        self._total = 0

    def add(self, now: float) -> None:
        """One more event."""
        if self._counts and now - self._counts[-1][0] < self._bucket:
            self._counts[-1][1] += 1
        else:
            self._counts.append([now, 1])
        self._total += 1

    def total(self, now: float) -> int:
        """The events of the window, with those at its far edge."""
        while self._counts and now - self._counts[0][0] > self._window + self._bucket:
            self._total -= self._counts.popleft()[1]
        return self._total


class RetryBudget:
    """The further tries that this proxy may send to one upstream."""

    def __init__(self, ratio: float, window: timedelta, slack: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._requests = WindowCount(window.total_seconds())
        self._repeats = WindowCount(window.total_seconds())

    def note_request(self, now: float) -> None:
        """A first try was sent to the upstream."""
        self._requests.add(now)

    def note_repeat(self, now: float) -> None:
        """A further try was sent, or a call that counts as one."""
        self._repeats.add(now)

    def may_repeat(self, now: float, proxies: int) -> bool:
        """Whether one more repeat stays within this proxy's part."""
        allowed = self._ratio * self._requests.total(now) + self._slack / max(1, proxies)
        return self._repeats.total(now) + 1 <= _SPENT_SHARE * allowed
