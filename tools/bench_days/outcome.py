"""The outcome of one run, read from its journal entry and its report."""

import json
import re
from dataclasses import dataclass
from pathlib import Path

from tools.bench_days.days import Day, Entry

__all__ = [
    "Outcome",
    "find_journal_entry",
    "find_unavailable_kind",
    "make_failed_outcome",
    "read_outcome",
]

# The output line that names the run's journal entry.
_SNAPSHOT_PATTERN = re.compile(r"^snapshot ([0-9a-f]+)$", re.MULTILINE)
# The bench rejects a day that holds a kind for which the site has no contract.
_CONTRACT_NOT_OPEN_PATTERN = re.compile(
    r"^fleetbench: ([a-z_]+): contract [a-z_]+ is not open$", re.MULTILINE
)
# An event's kind in a report, with the variant in parentheses: `core_cut (leader race)`.
_EVENT_PATTERN = re.compile(r"^([a-z_]+)(?: \((.*)\))?$")


@dataclass(frozen=True)
class Outcome:
    """The outcome of one day with one seed on one site. It has no figures if `error` is set."""

    day: str
    seed: int
    site: str
    snapshot: str = ""
    worth: float | None = None
    gate: bool | None = None
    rules: dict[str, int] | None = None
    first: tuple[str, ...] = ()
    short: tuple[str, ...] = ()
    fault: str = ""
    events: tuple[str, ...] = ()
    not_played: tuple[Entry, ...] = ()
    left_out: tuple[str, ...] = ()
    error: str = ""

    @property
    def is_clean(self) -> bool:
        """Whether the run has no error and no fault, and broke no rule."""
        return not self.error and not self.fault and not self.rules

    def summary(self) -> str:
        """Returns a one-line, human-readable summary."""
        start = f"{self.site} {self.day} seed {self.seed}:"
        if self.error:
            return f"{start} no figures: {self.error}"
        if not self.snapshot:
            return f"{start} not played: no contract for {', '.join(self.left_out)}"
        rules = ", ".join(f"{rule} {count}" for rule, count in sorted((self.rules or {}).items()))
        parts = [
            f"worth {self.worth:.3f}" if self.worth is not None else "no worth",
            "gate passed" if self.gate else "gate failed",
            f"rules broken: {rules}" if rules else "no rule broken",
            *self.short,
        ]
        if self.fault:
            parts.append(f"fault: {self.fault}")
        if self.not_played:
            parts.append(
                "not played: "
                + ", ".join(f"{entry.kind} at {entry.at:g}" for entry in self.not_played)
            )
        if self.left_out:
            parts.append(f"no contract for {', '.join(self.left_out)}")
        return f"{start} {'; '.join(parts)} [{self.snapshot}]"


def make_failed_outcome(day: Day, seed: int, site: str, text: str) -> Outcome:
    """Returns the outcome of a run without a report; its error is the last line of the output."""
    lines = [line for line in text.splitlines() if line.strip()]
    return Outcome(day.name, seed, site, error=lines[-1] if lines else "no output")


def find_unavailable_kind(output: str) -> str | None:
    """Returns the kind that the bench rejected because the site has no contract for it, if any."""
    found = _CONTRACT_NOT_OPEN_PATTERN.search(output)
    return found.group(1) if found else None


def find_journal_entry(output: str, folder: Path) -> Path | None:
    """Returns the path of the journal entry that a run's output names, if it exists."""
    found = _SNAPSHOT_PATTERN.search(output)
    if found is None:
        return None
    return next(iter(sorted(folder.glob(f"*-{found.group(1)}.json"))), None)


def read_outcome(
    day: Day, seed: int, entry: dict, report: dict, left_out: tuple[str, ...] = ()
) -> Outcome:
    """Combines a journal entry (rules, gate, worth) with a report (events and their times)."""
    site = str(entry.get("site"))
    days = entry.get("days") or []
    if not entry.get("ok") or len(days) != 1:
        return Outcome(
            day.name,
            seed,
            site,
            str(entry.get("id", "")),
            error=str(entry.get("error") or "the journal entry has no day"),
        )
    (found,) = days
    events = report.get("events", [])
    return Outcome(
        day.name,
        seed,
        site,
        str(entry.get("id", "")),
        worth=found.get("G"),
        gate=found.get("gate"),
        rules=dict(found.get("rules") or {}),
        first=tuple(_to_text(item) for item in report.get("first") or []),
        short=tuple(_to_text(item) for item in found.get("short") or []),
        fault=found.get("fault") or "",
        events=tuple(f"{event['at_s']:g} {event['kind']}" for event in events),
        not_played=_find_not_played(
            day, left_out, [_split_variant(event["kind"]) for event in events]
        ),
        left_out=left_out,
    )


def _find_not_played(
    day: Day, left_out: tuple[str, ...], played: list[tuple[str, str]]
) -> tuple[Entry, ...]:
    """Returns the entries not played, except kinds left out; each event matches one entry."""
    pending = [entry for entry in day.entries if entry.kind not in left_out]
    # Match events with the same variant first, as reports of some kinds name no variant.
    for named in (True, False):
        unmatched = []
        for entry in pending:
            event = (entry.kind, entry.how if named else "")
            if event in played:
                played.remove(event)
            else:
                unmatched.append(entry)
        pending = unmatched
    return tuple(pending)


def _split_variant(kind: str) -> tuple[str, str]:
    found = _EVENT_PATTERN.match(kind)
    return (found.group(1), found.group(2) or "") if found else (kind, "")


def _to_text(item: object) -> str:
    return item if isinstance(item, str) else json.dumps(item)
