"""Counts of the request bodies that a guard received, by what became of them, for its log."""

import enum
import time
from collections import Counter
from typing import Any

__all__ = ["BodyResult", "BodyStatistics", "BodyTransfer"]


class BodyResult(enum.StrEnum):
    """What became of a body."""

    # The body was complete, and its request was offered to the target.
    OFFERED = "offered"
    # The body was complete, but its request was not offered.
    NOT_OFFERED = "complete, not offered"
    # Refused before the sender was granted any credit.
    REFUSED = "refused before the first byte"
    # Given up for want of time in the midst of the transfer.
    GIVEN_UP = "given up midway"
    # The sender or its connection ended the transfer.
    BROKEN_OFF = "broken off"


class BodyTransfer:
    """The transfer of one body; times are monotonic seconds."""

    def __init__(self, arrived_at: float) -> None:
        self.result = BodyResult.BROKEN_OFF
        self.arrived_at = arrived_at
        # When the sender was granted its first credit, and when the transfer ended.
        self.started_at: float | None = None
        self.ended_at: float | None = None
        self.received_bytes = 0


class BodyStatistics:
    """Counts since the last report."""

    def __init__(self, link_bytes_per_second: float) -> None:
        self._link_bytes_per_second = link_bytes_per_second
        self._reported_at = time.monotonic()
        self._bodies: Counter[BodyResult] = Counter()
        self._bytes: Counter[BodyResult] = Counter()
        self._waits: list[float] = []
        self._transfers: list[float] = []

    def count(self, transfer: BodyTransfer) -> None:
        """Counts a body that is over."""
        self._bodies[transfer.result] += 1
        self._bytes[transfer.result] += transfer.received_bytes
        ended_at = transfer.ended_at if transfer.ended_at is not None else time.monotonic()
        started_at = transfer.started_at if transfer.started_at is not None else ended_at
        self._waits.append(started_at - transfer.arrived_at)
        if transfer.started_at is not None:
            self._transfers.append(ended_at - started_at)

    def take_report(self) -> dict[str, Any] | None:
        """Returns the counts since the last report as log fields; None if there are none.

        `link_share` is the share of the link that bodies used.
        """
        now = time.monotonic()
        elapsed = max(1e-3, now - self._reported_at)
        self._reported_at = now
        if not self._waits:
            return None
        report = {
            "bodies": {str(result): number for result, number in self._bodies.items()},
            "kilobytes": {
                str(result): size // 1024 for result, size in self._bytes.items() if size
            },
            "link_share": round(self._bytes.total() / elapsed / self._link_bytes_per_second, 3),
            "mean_wait_s": _mean(self._waits),
            "longest_wait_s": round(max(self._waits), 3),
        }
        if self._transfers:
            report["mean_transfer_s"] = _mean(self._transfers)
            report["longest_transfer_s"] = round(max(self._transfers), 3)
        for counted in (self._bodies, self._bytes, self._waits, self._transfers):
            counted.clear()
        return report


def _mean(seconds: list[float]) -> float:
    return round(sum(seconds) / len(seconds), 3)
