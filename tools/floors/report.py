"""Reads the days of a journal entry and describes what each of them missed."""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

__all__ = ["PlayedDay", "describe", "read_days"]


class PlayedDay(NamedTuple):
    """One played day: broken rules with their counts, missed floors, and shares earned by kind."""

    name: str
    rules: dict[str, int]
    missed_floors: list[str]
    # The share of its worth that each kind of request earned, in the order of the site file.
    shares: list[float]

    @property
    def is_clean(self) -> bool:
        """Whether no rule was broken and no floor missed."""
        return not self.rules and not self.missed_floors


def read_days(path: Path) -> tuple[str, list[PlayedDay]]:
    """Returns the site and the days of a journal entry.

    Raises OSError if the file cannot be read, and ValueError if it is no entry with days.
    """
    entry = json.loads(path.read_text(encoding="utf-8"))
    if not isinstance(entry, dict) or not isinstance(entry.get("days"), list):
        raise ValueError(f"{path.name} has no days")
    return str(entry.get("site")), [_read_day(day) for day in entry["days"]]


def _read_day(day: dict[str, Any]) -> PlayedDay:
    shares = [share for share in day.get("by_class") or [] if share is not None]
    return PlayedDay(
        str(day.get("name")), dict(day.get("rules") or {}), list(day.get("short") or []), shares
    )


def describe(site: str, days: list[PlayedDay]) -> Iterator[str]:
    """Describes the days line by line: the counts, each day that is not clean, lowest shares."""
    broken = sum(1 for day in days if day.rules)
    missed = sum(1 for day in days if day.missed_floors)
    yield f"{site}: {len(days)} days, {broken} with a broken rule, {missed} with a missed floor"
    for day in days:
        if not day.is_clean:
            rules = ", ".join(f"{rule} {count}" for rule, count in day.rules.items())
            yield f"  {day.name}: " + "; ".join(filter(None, [rules, *day.missed_floors]))
    kinds = max((len(day.shares) for day in days), default=0)
    lowest = [
        min(day.shares[kind] for day in days if kind < len(day.shares)) for kind in range(kinds)
    ]
    if lowest:
        yield "  lowest share of each kind: " + ", ".join(f"{share:.2f}" for share in lowest)
