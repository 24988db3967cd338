"""The cold-start invariant, checked on what was really written to the target.

In no second of the time during which a target was cold may more requests be written to
it than its bound.  The guard's own limit acts on what it believes when a request is
admitted; this monitor also looks back: a health answer that a target is cold tells since
when, and what was written between then and the answer is checked too.
"""

import math
from collections import deque
from datetime import timedelta

from marblefold.logs import log
from marblefold.request_path.cold_state import ColdReport, ReportSource

__all__ = ["ColdMonitor"]

_WINDOW_SECONDS = 1.0
# Enough for the longest cold start at several hundred requests a second.
_MOST_KEPT = 2048


class ColdMonitor:
    """Counts the requests that were written to a cold target beyond its bound.

    All times are monotonic seconds.
    """

    def __init__(self) -> None:
        # How many requests were beyond the bound, since the start of this process.
        self.violations = 0
        self._written: deque[float] = deque(maxlen=_MOST_KEPT)
        self._checked_until = -math.inf
        self._cold_since = math.inf
        self._cold_until = -math.inf
        # Whether something was written to a cold target while the bound was unknown.
        self._awaits_bound = False

    def begin_instance(self) -> None:
        """Another instance runs at the target's address: nothing was written to it yet."""
        self._written.clear()
        self._cold_since, self._cold_until = math.inf, -math.inf

    def note_written(self, now: float, bound: float) -> None:
        """A request was written to the target; `bound`: how many a cold second may hold."""
        self._written.append(now)
        if now <= self._cold_until or self._awaits_bound:
            self._check_all(bound)

    def note_report(self, report: ColdReport, cold_start: timedelta, bound: float) -> None:
        """The target told how long it stays cold; `cold_start` is the whole time.

        A report of no time ends the time that is checked.
        """
        left = report.remaining.total_seconds()
        if left <= 0:
            self._cold_until = min(self._cold_until, report.at)
            return
        if report.at > self._cold_until:
            self._cold_since = report.at
            if report.source is ReportSource.HEALTH:
                # It went cold before it was asked: what was written since then counts.  A
                # heartbeat may be seconds old, and tells nothing of when it went cold.
                self._cold_since -= max(0.0, cold_start.total_seconds() - left)
        self._cold_until = report.at + left
        self._check_all(bound)

    def count_within(self, now: float) -> int:
        """How many requests were written within the second before now."""
        return sum(1 for at in self._written if now - _WINDOW_SECONDS < at <= now)

    def _check_all(self, bound: float) -> None:
        """Checks what was written since the last check, as soon as the bound is known."""
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
        """Checks the second that ends with a request."""
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
