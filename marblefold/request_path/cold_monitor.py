"""Checks the cold-start invariant against the requests actually written to the target.

Within any second during which a target is cold, no more requests may be written to it
than its bound.  The limiter acts on what is known when a request is admitted.  This
monitor also checks in retrospect: a health answer that reports a cold target shows when
the target went cold, and the requests written between then and the answer are checked too.
"""

import math
from collections import deque
from datetime import timedelta

from marblefold.logs import log
from marblefold.request_path.cold_state import ColdReport, ReportSource

__all__ = ["ColdMonitor"]

_WINDOW_SECONDS = 1.0
# Covers the longest cold start at several hundred requests per second.
_MAX_KEPT_REQUESTS = 2048


class ColdMonitor:
    """Counts the requests written to a cold target in excess of its bound.

    All times are monotonic seconds.
    """

    def __init__(self) -> None:
        # The number of requests in excess of the bound since this process started.
        self.violations = 0
        self._written: deque[float] = deque(maxlen=_MAX_KEPT_REQUESTS)
        self._checked_until = -math.inf
        self._cold_since = math.inf
        self._cold_until = -math.inf
        # Whether a check is pending because the bound was unknown.
        self._awaits_bound = False

    def begin_instance(self) -> None:
        """Starts over for a new instance at the target's address, to which nothing was written."""
        self._written.clear()
        self._cold_since, self._cold_until = math.inf, -math.inf

    def note_written(self, now: float, bound: float) -> None:
        """Records a request written to the target.

        `bound` is the number of requests that a second of a cold target may hold.
        """
        self._written.append(now)
        if now <= self._cold_until or self._awaits_bound:
            self._check_all(bound)

    def note_report(self, report: ColdReport, cold_start: timedelta, bound: float) -> None:
        """Applies a report of how long the target stays cold.

        `cold_start` is the whole duration of a cold start.  A report of zero remaining
        time ends the checked period.
        """
        remaining = report.remaining.total_seconds()
        if remaining <= 0:
            self._cold_until = min(self._cold_until, report.at)
            return
        if report.at > self._cold_until:
            self._cold_since = report.at
            if report.source is ReportSource.HEALTH:
                # The target went cold before it was asked, so requests written since then
                # count.  A heartbeat may be seconds old and does not show when that was.
                self._cold_since -= max(0.0, cold_start.total_seconds() - remaining)
        self._cold_until = report.at + remaining
        self._check_all(bound)

    def count_within(self, now: float) -> int:
        """The number of requests written within the second before `now`."""
        return sum(1 for at in self._written if now - _WINDOW_SECONDS < at <= now)

    def _check_all(self, bound: float) -> None:
        """Checks the requests written since the last check, once the bound is known."""
        self._awaits_bound = math.isinf(bound)
        if self._awaits_bound:
            return
        unchecked = []
        for at in reversed(self._written):
            if at <= self._checked_until:
                break
            unchecked.append(at)
        for at in reversed(unchecked):
            self._check(at, bound)

    def _check(self, end: float, bound: float) -> None:
        """Checks the second that ends with the request written at `end`."""
        if not self._cold_since <= end <= self._cold_until:
            return
        self._checked_until = end
        begin = max(end - _WINDOW_SECONDS, self._cold_since)
        count = sum(1 for at in self._written if begin <= at <= end)
        if count > bound:
            self.violations += 1
            log.error(
                "cold target flooded",
                count=count,
                bound=bound,
                cold_for=round(end - self._cold_since, 3),
                violations=self.violations,
            )
