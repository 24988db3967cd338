"""Counts the outcomes of simulated requests before and after the loss."""

import enum
from typing import NamedTuple

__all__ = ["RequestOutcome", "Phase", "OutcomeCounts", "OutcomeStatistics"]


class Phase(enum.Enum):
    """The time of arrival of a request, relative to the loss."""

    BEFORE = "before"
    # From the loss until all nodes know of it.
    UNSETTLED = "unsettled"
    AFTER = "after"


class RequestOutcome(NamedTuple):
    """The outcome of one request."""

    route: str
    upstream: str
    # The zone that answered the request; empty if none did.
    zone: str
    # "carried", "stalled", "unknown" (it may have run), or "gone" with its origin.
    result: str
    step: str
    is_late: bool
    is_repeated: bool
    # Whether it was sent to a target that was lost.
    reached_lost_zone: bool


class OutcomeCounts:
    """Counts the requests of one route to one service in one phase."""

    def __init__(self) -> None:
        self.count = 0
        self.zones: dict[str, int] = {}
        self.results: dict[str, int] = {}
        self.steps: dict[str, int] = {}
        self.late = 0
        self.repeated = 0

    def add(self, outcome: RequestOutcome) -> None:
        """Counts the outcome of one request."""
        self.count += 1
        self.results[outcome.result] = self.results.get(outcome.result, 0) + 1
        self.late += outcome.is_late
        self.repeated += outcome.is_repeated
        if outcome.zone:
            self.zones[outcome.zone] = self.zones.get(outcome.zone, 0) + 1
        elif outcome.step:
            self.steps[outcome.step] = self.steps.get(outcome.step, 0) + 1


class OutcomeStatistics:
    """The counts of one or more runs."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, Phase], OutcomeCounts] = {}
        # By route and service: requests that must not be repeated and whose outcome is
        # unknown, because they were in progress in, or sent to, a lost zone.
        self.possible_duplicates: dict[tuple[str, str], int] = {}

    def add(self, outcome: RequestOutcome, phase: Phase, is_repeatable: bool) -> None:
        """Counts the outcome of a request that arrived in the phase."""
        key = (outcome.route, outcome.upstream)
        self.rows.setdefault((*key, phase), OutcomeCounts()).add(outcome)
        if (
            not is_repeatable
            and outcome.reached_lost_zone
            and outcome.result in ("unknown", "gone")
        ):
            self.possible_duplicates[key] = self.possible_duplicates.get(key, 0) + 1
