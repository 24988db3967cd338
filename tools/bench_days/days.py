"""Reads the bench days of this folder: their entries and the kinds of these."""

import tomllib
from collections.abc import Collection
from dataclasses import dataclass
from pathlib import Path

__all__ = ["DAYS_FOLDER", "Day", "Entry", "read_day", "read_days", "write_day_without_kinds"]

DAYS_FOLDER = Path(__file__).parent / "days"


@dataclass(frozen=True)
class Entry:
    """One fault or planned operation; `at` is in seconds and `how` names the variant."""

    at: float
    kind: str
    how: str
    planned: bool


@dataclass(frozen=True)
class Day:
    """A day's file, its name, its entries ordered by time, and the kind of its closing fault."""

    path: Path
    name: str
    entries: tuple[Entry, ...]
    closing_kind: str

    @property
    def kinds(self) -> frozenset[str]:
        """The kinds of all entries, without the closing fault."""
        return frozenset(entry.kind for entry in self.entries)


def read_day(path: Path) -> Day:
    """Reads one file. Raises ValueError unless it holds one valid day with the file's name."""
    with path.open("rb") as file:
        document = tomllib.load(file)
    days = document.get("day")
    if not isinstance(days, list) or len(days) != 1:
        raise ValueError(f"{path}: one [[day]] is expected")
    (table,) = days
    if table.get("name") != path.stem:
        raise ValueError(f"{path}: the day must be named {path.stem!r}")
    entries = [
        _parse_entry(path, found, planned)
        for part, planned in (("plan", True), ("faults", False))
        for found in table.get(part, [])
    ]
    if not entries:
        raise ValueError(f"{path}: neither plan nor faults")
    entries.sort(key=lambda entry: entry.at)
    return Day(path, path.stem, tuple(entries), table.get("closing", {}).get("kind", ""))


def read_days(names: list[str], folder: Path = DAYS_FOLDER) -> list[Day]:
    """Returns the days with these names in this order, or all of the folder if none is given."""
    paths = [folder / f"{name}.toml" for name in names] or sorted(folder.glob("*.toml"))
    return [read_day(path) for path in paths]


def write_day_without_kinds(day: Day, kinds: Collection[str], folder: Path) -> Path | None:
    """Writes a copy of the day's file without entries of these kinds, and returns its path.

    Returns the original path if no kinds are given, and None if no entry would remain.
    Works on lines, so a day's file must hold one entry per line.
    """
    if not kinds:
        return day.path
    if day.kinds <= set(kinds):
        return None
    kind_fields = [f'kind = "{kind}"' for kind in kinds]
    lines = day.path.read_text().splitlines(keepends=True)
    path = folder / day.path.name
    path.write_text(
        "".join(line for line in lines if not any(kind_field in line for kind_field in kind_fields))
    )
    return path


def _parse_entry(path: Path, table: dict, planned: bool) -> Entry:
    at, kind, how = table.get("at"), table.get("kind"), table.get("how", "")
    if not isinstance(at, (int, float)) or not isinstance(kind, str) or not isinstance(how, str):
        raise ValueError(f"{path}: an entry needs a number `at` and a text `kind`: {table}")
    return Entry(float(at), kind, how, planned)
