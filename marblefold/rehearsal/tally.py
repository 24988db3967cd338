"""Counts what became of the requests of a rehearsal, before and after the loss."""

import enum
from typing import NamedTuple

__all__ = ["Ending", "Phase", "Row", "Tally"]


class Phase(enum.Enum):
    """When a request came, seen from the loss."""

    BEFORE = "before"
    # Until all nodes know of the loss.
    UNSETTLED = "unsettled"
    AFTER = "after"


class Ending(NamedTuple):
    """How one request ended."""

    route: str
    upstream: str
    # Where it was answered, if it was.
    zone: str
    # carried, stalled, unknown (it may have run), or gone with its origin.
    what: str
    step: str
    is_late: bool
    is_repeated: bool
    # Whether a target that is now dark had it.
    was_dark: bool


class Row:
    """The requests of one route to one service in one phase."""

    def __init__(self) -> None:
        self.count = 0
        self.zones: dict[str, int] = {}
        self.endings: dict[str, int] = {}
        self.steps: dict[str, int] = {}
        self.late = 0
        self.repeated = 0

    def add(self, ending: Ending) -> None:
        """One more request."""
        self.count += 1
        self.endings[ending.what] = self.endings.get(ending.what, 0) + 1
        self.late += ending.is_late
        self.repeated += ending.is_repeated
        if ending.zone:
            self.zones[ending.zone] = self.zones.get(ending.zone, 0) + 1
        elif ending.step:
            self.steps[ending.step] = self.steps.get(ending.step, 0) + 1


class Tally:
    """All rows of a play."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, Phase], Row] = {}
        # Mutating requests whose outcome nobody knows, of those under way or
        # sent into the dark.
        self.may_double: dict[tuple[str, str], int] = {}

    def add(self, ending: Ending, phase: Phase, is_repeatable: bool) -> None:
        """Takes in how a request ended."""
        key = (ending.route, ending.upstream)
        self.rows.setdefault((*key, phase), Row()).add(ending)
        if not is_repeatable and ending.was_dark and ending.what in ("unknown", "gone"):
            self.may_double[key] = self.may_double.get(key, 0) + 1
