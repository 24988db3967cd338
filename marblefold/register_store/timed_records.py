"""Counts the writes of a store to its disk, and how long they take."""

import time
from typing import Any

from marblefold.register_store.records import Records

__all__ = ["DiskStatistics", "TimedRecords"]

# The operator of a change notices these.
_SLOW_WRITE_SECONDS = 0.25


class DiskStatistics:
    """Counts since the last report."""

    def __init__(self) -> None:
        self._writes = self._slow_writes = 0
        self._total_seconds = self._longest_seconds = 0.0

    def count_write(self, seconds: float) -> None:
        """Counts a write that took this long."""
        self._writes += 1
        self._slow_writes += seconds > _SLOW_WRITE_SECONDS
        self._total_seconds += seconds
        self._longest_seconds = max(self._longest_seconds, seconds)

    def take_report(self) -> dict[str, Any] | None:
        """Returns the counts since the last report as log fields; None if there are none."""
        if not self._writes:
            return None
        report = {
            "writes": self._writes,
            "slow_writes": self._slow_writes,
            "total_s": round(self._total_seconds, 3),
            "longest_s": round(self._longest_seconds, 3),
        }
        self._writes = self._slow_writes = 0
        self._total_seconds = self._longest_seconds = 0.0
        return report


class TimedRecords:
    """Records whose writes are counted."""

    def __init__(self, records: Records, statistics: DiskStatistics) -> None:
        self._records = records
        self._statistics = statistics

    def load(self) -> dict[str, bytes]:
        """Returns the records; raises DiskError when the disk fails."""
        return self._records.load()

    def write(self, name: str, data: bytes) -> None:
        """Returns once the record is durable; raises DiskError when the disk fails."""
        began_at = time.monotonic()
        try:
            self._records.write(name, data)
        finally:
            self._statistics.count_write(time.monotonic() - began_at)
