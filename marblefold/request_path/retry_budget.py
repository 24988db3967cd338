"""The share of the retry budget that each proxy may use.

There is no central service: a proxy may send retries in proportion to the requests
that it served itself, plus an equal share of the slack.
"""

from collections import deque
from datetime import timedelta

__all__ = ["RetryBudget", "SlidingWindowCounter"]

# Nested calls of a retried request count as retries too, but not all of them are
# recognised; the unused share of the budget covers these.
_USABLE_SHARE = 0.5
_BUCKETS = 20


class SlidingWindowCounter:
    """Counts the events in a sliding window of `window` seconds, divided into buckets."""

    def __init__(self, window: float) -> None:
        self._bucket_seconds = window / _BUCKETS
        self._window_seconds = window
        self._counts: deque[list] = deque()
        self._total = 0

    def add(self, now: float) -> None:
        """Counts one event."""
        if self._counts and now - self._counts[-1][0] < self._bucket_seconds:
            self._counts[-1][1] += 1
        else:
            self._counts.append([now, 1])
        self._total += 1

    def total(self, now: float) -> int:
        """Returns the number of events in the window, including all of its oldest bucket."""
        while (
            self._counts and now - self._counts[0][0] > self._window_seconds + self._bucket_seconds
        ):
            self._total -= self._counts.popleft()[1]
        return self._total


class RetryBudget:
    """Limits the retries of this proxy to one upstream; times are monotonic seconds."""

    def __init__(self, ratio: float, window: timedelta, slack: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._requests = SlidingWindowCounter(window.total_seconds())
        self._retries = SlidingWindowCounter(window.total_seconds())

    def note_request(self, now: float) -> None:
        """Records a request for the upstream."""
        self._requests.add(now)

    def note_retry(self, now: float) -> None:
        """Records a retry, or a nested call that counts as one."""
        self._retries.add(now)

    def may_retry(self, now: float, proxies: int) -> bool:
        """Whether one more retry stays within this proxy's share."""
        allowed = self._ratio * self._requests.total(now) + self._slack / max(1, proxies)
        return self._retries.total(now) + 1 <= _USABLE_SHARE * allowed
