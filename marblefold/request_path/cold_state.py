"""Tracks how long the target is cold, and whether that state is certain.

A target counts as cold unless it reported to be warm after the last moment at which its
state became uncertain.  Heartbeats may arrive seconds late and carry no time of their
creation.  A health answer is created after its request, so only health answers end the
uncertainty early.
"""

import enum
import math
from datetime import timedelta
from typing import NamedTuple

__all__ = ["ColdReport", "ColdState", "ReportSource"]

# Upper limit of a cold start, also if the configuration gives a longer one or none.
_MAX_COLD_SECONDS = 30.0


class ReportSource(enum.Enum):
    """How a report on the remaining cold time arrived."""

    HEARTBEAT = "heartbeat"
    HEALTH = "health"


class ColdReport(NamedTuple):
    """How much longer the target is cold, as reported by itself.

    `at` is when the report was received.  `created_after` is a time before which it cannot
    have been created; for a heartbeat that is unknown.  Both are monotonic seconds.
    """

    source: ReportSource
    remaining: timedelta
    at: float
    created_after: float = -math.inf


class ColdState:
    """The reports of one target instance, and when its state last became uncertain.

    All times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._cold_until = dict.fromkeys(ReportSource, -math.inf)
        self._heartbeat_at = -math.inf
        self._health_requested_at = -math.inf
        self._uncertain_since = -math.inf

    @property
    def cold_until(self) -> float:
        """Until when the target is cold according to its own reports."""
        return max(self._cold_until.values())

    def apply(self, report: ColdReport) -> None:
        """Applies a report; heartbeats must be applied in their order.

        A health answer is ignored if one to a later request has been applied.
        """
        if (
            report.created_after < self._health_requested_at
            and report.source is ReportSource.HEALTH
        ):
            return
        self._cold_until[report.source] = report.at + report.remaining.total_seconds()
        if report.source is ReportSource.HEARTBEAT:
            self._heartbeat_at = report.at
            return
        self._health_requested_at = report.created_after
        # The answer is newer than each heartbeat received before its request.
        if self._heartbeat_at < report.created_after:
            self._cold_until[ReportSource.HEARTBEAT] = -math.inf
        if self._uncertain_since <= report.created_after:
            self._uncertain_since = -math.inf

    def mark_uncertain(self, now: float) -> None:
        """Records that from `now` on the target may be cold without having reported it."""
        self._uncertain_since = now

    def is_uncertain(self, now: float, cold_seconds: float) -> bool:
        """Whether the target may be cold without having reported it.

        This lasts for `cold_seconds` at most.
        """
        max_seconds = min(cold_seconds, _MAX_COLD_SECONDS) if cold_seconds > 0 else math.inf
        return now < self._uncertain_since + min(max_seconds, _MAX_COLD_SECONDS)

    def may_be_cold(self, now: float, cold_seconds: float) -> bool:
        """Whether the limit for cold targets applies."""
        return now < self.cold_until or self.is_uncertain(now, cold_seconds)
