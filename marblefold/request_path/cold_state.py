"""What is known of how long the target is cold, and whether that can be relied on.

A target is cold unless there is a report, made after the last moment of doubt, that it
is warm.  Heartbeats may arrive seconds late and tell nothing of when they were made; a
health answer was made after its question, so only health answers end a doubt early.
"""

import enum
import math
from datetime import timedelta
from typing import NamedTuple

__all__ = ["ColdReport", "ColdState", "ReportSource"]

# No cold start is taken to last longer, whatever the configuration says or lacks.
_LONGEST_COLD_SECONDS = 30.0


class ReportSource(enum.Enum):
    """How the target's word on its cold time arrived."""

    HEARTBEAT = "heartbeat"
    HEALTH = "health"


class ColdReport(NamedTuple):
    """How much longer the target is cold, by its own word.

    `at` is when it was heard; `made_after` a time before which it cannot have been
    made, which for a heartbeat is unknown.  Both are monotonic seconds.
    """

    source: ReportSource
    remaining: timedelta
    at: float
    made_after: float = -math.inf


class ColdState:
    """The reports of one target instance, and the last moment of doubt.

    All times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._cold_until = dict.fromkeys(ReportSource, -math.inf)
        self._heartbeat_at = -math.inf
        self._health_asked_at = -math.inf
        self._uncertain_since = -math.inf

    @property
    def cold_until(self) -> float:
        """Until when the target is cold by its own word."""
        return max(self._cold_until.values())

    def apply(self, report: ColdReport) -> None:
        """Applies a report; heartbeats must come in their order.

        A health answer is ignored after one whose question came later.
        """
        if report.made_after < self._health_asked_at and report.source is ReportSource.HEALTH:
            return
        self._cold_until[report.source] = report.at + report.remaining.total_seconds()
        if report.source is ReportSource.HEARTBEAT:
            self._heartbeat_at = report.at
            return
        self._health_asked_at = report.made_after
        # It is newer than each heartbeat that was heard before its question.
        if self._heartbeat_at < report.made_after:
            self._cold_until[ReportSource.HEARTBEAT] = -math.inf
        if self._uncertain_since <= report.made_after:
            self._uncertain_since = -math.inf

    def mark_uncertain(self, now: float) -> None:
        """From now on the target may be cold without having said so."""
        self._uncertain_since = now

    def is_uncertain(self, now: float, cold_seconds: float) -> bool:
        """Whether it may be cold unknown to us; it stays so for `cold_seconds` at most."""
        longest = min(cold_seconds, _LONGEST_COLD_SECONDS) if cold_seconds > 0 else math.inf
        return now < self._uncertain_since + min(longest, _LONGEST_COLD_SECONDS)

    def may_be_cold(self, now: float, cold_seconds: float) -> bool:
        """Whether the limit for cold targets holds."""
        return now < self.cold_until or self.is_uncertain(now, cold_seconds)
