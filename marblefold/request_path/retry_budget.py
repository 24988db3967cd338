"""Each proxy's share of the retry budget.

No central service is involved: a proxy may spend a share of the ratio on the
requests that it served itself, and an equal share of the slack.
"""

from collections import deque
from datetime import timedelta

__all__ = ["RetryBudget", "SlidingWindowCounter"]

# Calls made by a repeated request count as repeats too, and not all of them are
# recognised here; the unspent share covers them.
_SPENT_SHARE = 0.5
_BUCKETS = 20


class SlidingWindowCounter:
    """Counts the events of a sliding window, in seconds, in small buckets."""

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
    """The retries that this proxy may send to one upstream; times are monotonic seconds."""

    def __init__(self, ratio: float, window: timedelta, slack: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._requests = SlidingWindowCounter(window.total_seconds())
        self._repeats = SlidingWindowCounter(window.total_seconds())

    def note_request(self, now: float) -> None:
        """A first attempt was sent to the upstream."""
        self._requests.add(now)

    def note_retry(self, now: float) -> None:
        """A retry was sent, or a call that counts as one."""
        self._repeats.add(now)

    def may_retry(self, now: float, proxies: int) -> bool:
        """Whether one more retry stays within this proxy's share."""
        allowed = self._ratio * self._requests.total(now) + self._slack / max(1, proxies)
        return self._repeats.total(now) + 1 <= _SPENT_SHARE * allowed
