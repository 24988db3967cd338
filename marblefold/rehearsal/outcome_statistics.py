"""Counts how the requests of a rehearsal ended, before and after the loss."""

import enum
from typing import NamedTuple

__all__ = ["RequestOutcome", "Phase", "OutcomeCounts", "OutcomeStatistics"]


class Phase(enum.Enum):
    """When a request arrived, relative to the loss."""

    BEFORE = "before"
    # From the loss until all nodes know of it.
    UNSETTLED = "unsettled"
    AFTER = "after"


class RequestOutcome(NamedTuple):
    """How one request ended."""

    route: str
    upstream: str
    # Where it was answered, if it was.
    zone: str
    # carried, stalled, unknown (it may have run), or gone with its origin.
    result: str
    step: str
    is_late: bool
    is_repeated: bool
    # Whether it had been sent to a target that is now lost.
    reached_lost_zone: bool


class OutcomeCounts:
    """The requests of one route to one service in one phase."""

    def __init__(self) -> None:
        self.count = 0
        self.zones: dict[str, int] = {}
        self.results: dict[str, int] = {}
        self.steps: dict[str, int] = {}
        self.late = 0
        self.repeated = 0

    def add(self, outcome: RequestOutcome) -> None:
        """Counts one request."""
        self.count += 1
        self.results[outcome.result] = self.results.get(outcome.result, 0) + 1
        self.late += outcome.is_late
        self.repeated += outcome.is_repeated
        if outcome.zone:
            self.zones[outcome.zone] = self.zones.get(outcome.zone, 0) + 1
        elif outcome.step:
            self.steps[outcome.step] = self.steps.get(outcome.step, 0) + 1


class OutcomeStatistics:
    """The rows of one or more runs."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, Phase], OutcomeCounts] = {}
        # Requests that must not be repeated and whose outcome is unknown, because
        # they were in progress at, or sent to, a lost zone.
        self.possible_duplicates: dict[tuple[str, str], int] = {}

    def add(self, outcome: RequestOutcome, phase: Phase, is_repeatable: bool) -> None:
        """Counts how a request ended."""
        key = (outcome.route, outcome.upstream)
        self.rows.setdefault((*key, phase), OutcomeCounts()).add(outcome)
        if (
            not is_repeatable
            and outcome.reached_lost_zone
            and outcome.result in ("unknown", "gone")
        ):
            self.possible_duplicates[key] = self.possible_duplicates.get(key, 0) + 1
