"""Counts of a registry's calls to the stores, for its log."""

from collections import Counter
from typing import Any

__all__ = ["StoreCallStatistics"]


class StoreCallStatistics:
    """Counts by kind of call since the last report."""

    def __init__(self) -> None:
        self._clear()

    def _clear(self) -> None:
        self._calls: Counter[str] = Counter()
        self._hedged: Counter[str] = Counter()
        self._unanswered: Counter[str] = Counter()
        self._longest_seconds = 0.0

    def count(self, kind: str, stores: int, is_answered: bool, seconds: float) -> None:
        """Counts a call that was sent to so many stores, and took this long."""
        self._calls[str(kind)] += 1
        self._hedged[str(kind)] += stores > 1
        self._unanswered[str(kind)] += not is_answered
        self._longest_seconds = max(self._longest_seconds, seconds)

    def take_report(self) -> dict[str, Any] | None:
        """Returns the counts since the last report as log fields; None if there are none."""
        if not self._calls:
            return None
        report = {
            "calls": dict(self._calls),
            "hedged": dict(+self._hedged),
            "unanswered": dict(+self._unanswered),
            "longest_s": round(self._longest_seconds, 3),
        }
        self._clear()
        return report
