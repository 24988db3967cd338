"""Counts of ballots and reads by register and result, for the log of a store."""

import enum
from collections import Counter
from typing import Any

__all__ = ["BallotResult", "ReadResult", "RegisterStatistics"]


class BallotResult(enum.StrEnum):
    """How one ballot ended."""

    CHOSEN = "chosen"
    # A majority held the value already: no second phase.
    UNCHANGED = "unchanged"
    # A store had promised a higher ballot of another proposer.
    OUTBID_IN_PREPARE = "outbid in prepare"
    OUTBID_IN_ACCEPT = "outbid in accept"
    # Too few stores agreed, and none of them because of a higher ballot.
    NO_MAJORITY_IN_PREPARE = "no majority in prepare"
    NO_MAJORITY_IN_ACCEPT = "no majority in accept"


class ReadResult(enum.StrEnum):
    """How one round of a read ended."""

    AGREED = "agreed"
    # A majority answered, but not with one ballot.
    DISAGREED = "disagreed"
    NO_MAJORITY = "no majority"
    # The rounds before did not agree: decided by a ballot.
    BY_BALLOT = "by ballot"


class RegisterStatistics:
    """Counts since the last report. Registers of one kind, such as evacuations, count as one."""

    def __init__(self) -> None:
        self._counts: dict[str, Counter[str]] = {}
        self._longest_seconds: dict[str, float] = {}
        self._longest_wait_seconds = 0.0

    def count_ballot(self, register: str, result: BallotResult, seconds: float) -> None:
        """Counts a ballot that took this long."""
        self._count(f"ballots of {_kind(register)}", result, seconds)

    def count_read(self, register: str, result: ReadResult, seconds: float) -> None:
        """Counts a round of a read that took this long."""
        self._count(f"reads of {_kind(register)}", result, seconds)

    def note_wait(self, seconds: float) -> None:
        """Notes how long a change waited for an earlier one of this store."""
        self._longest_wait_seconds = max(self._longest_wait_seconds, seconds)

    def take_report(self) -> dict[str, Any] | None:
        """Returns the counts since the last report as log fields; None if there are none."""
        if not self._counts:
            return None
        report = {
            "counts": {operation: dict(counts) for operation, counts in self._counts.items()},
            "longest_s": {
                operation: round(seconds, 3) for operation, seconds in self._longest_seconds.items()
            },
            "longest_wait_s": round(self._longest_wait_seconds, 3),
        }
        self._counts, self._longest_seconds = {}, {}
        self._longest_wait_seconds = 0.0
        return report

    def _count(self, operation: str, result: str, seconds: float) -> None:
        self._counts.setdefault(operation, Counter())[str(result)] += 1
        longest = self._longest_seconds.get(operation, 0.0)
        self._longest_seconds[operation] = max(longest, seconds)


def _kind(register: str) -> str:
    return register.partition("/")[0]
