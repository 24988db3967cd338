"""Turns away requests of one sort when they concurrency_limiter out all others.

The source calls them tribbles: requests like any other, but too many of them
too fast.  Spikes are allowed while there is room for what the other sorts
normally need, and some headroom.
"""

from typing import NamedTuple

from marblefold.circuit_breaker.breaker import Passage
from marblefold.circuit_breaker.work_tracker import Ticket, WorkTracker

__all__ = ["ConcurrencyLimits", "ConcurrencyLimiter"]

_LEARN = 0.01


class ConcurrencyLimits(NamedTuple):
    """What part of the resources may be used up, and how much stays free."""

    resources: int
    usable: float = 0.9
    headroom: float = 0.1
    # Each rank below the first leaves a little more room for those before it.
    headroom_per_rank: float = 0.03
    most_ranks: int = 5


class _Sort:
    """Requests that are alike: those of one route."""

    __slots__ = ("tracker", "normal")

    def __init__(self) -> None:
        self.tracker = WorkTracker()
        self.normal = 0.0


class ConcurrencyLimiter:
    """Counts the requests in this process by their sort."""

    def __init__(self, config: ConcurrencyLimits) -> None:
        self._config = config
        self._sorts: dict[str, _Sort] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """How many requests are in this process."""
        return self._total

    def allowed(self, sort: str, rank: int) -> float:
        """How many of the sort may be here at once."""
        config = self._config
        others = sum(known.normal for name, known in self._sorts.items() if name != sort)
        ranks = min(max(0, rank), config.most_ranks)
        headroom = config.headroom + config.headroom_per_rank * ranks
        return max(1.0, config.resources * (1.0 - headroom) - others)

    def ask(self, sort: str, rank: int, now: float) -> Passage:
        """Whether one more of the sort may come in."""
        known = self._find(sort)
        count = len(known.tracker)
        is_full = self._total >= self._config.resources * self._config.usable
        if is_full or count + 1 > self.allowed(sort, rank):
            return Passage(False, self._retry_after(known, now))
        # Only what was let in is normal; a flood must not make itself so.
        known.normal += _LEARN * (count + 1 - known.normal)
        return Passage(True, 0.0)

    def begin(self, sort: str, now: float, what: str) -> Ticket:
        """A request of the sort came in."""
        self._total += 1
        return self._find(sort).tracker.take(now, 1.0, what)

    def end(self, sort: str, ticket: Ticket) -> None:
        """A request of the sort is over."""
        if self._find(sort).tracker.give_back(ticket):
            self._total -= 1

    def _find(self, sort: str) -> _Sort:
        known = self._sorts.get(sort)
        if known is None:
            known = self._sorts[sort] = _Sort()
        return known

    def _retry_after(self, known: _Sort, now: float) -> float:
        # As the source says: as long as the longest of them has gone on.
        for ticket in known.tracker.oldest_first():
            return max(0.1, min(5.0, now - ticket.started))
        return 0.1
