"""Limits the requests of one route so that they do not crowd out all others.

These are ordinary requests, but too many of them too fast.  Spikes are admitted
while there is room for the normal load of the other routes, and some headroom.
"""

from typing import NamedTuple

from marblefold.circuit_breaker.breaker import Admission
from marblefold.circuit_breaker.in_flight_tracker import InFlightTracker, Permit

__all__ = ["ConcurrencyLimits", "ConcurrencyLimiter"]

_LEARN = 0.01


class ConcurrencyLimits(NamedTuple):
    """How many requests fit (`resources`) and which share of that stays free."""

    resources: int
    usable: float = 0.9
    headroom: float = 0.1
    # Additional free share for each rank below the first.
    headroom_per_rank: float = 0.03
    most_ranks: int = 5


class _Sort:
    """The requests of one route."""

    __slots__ = ("tracker", "normal")

    def __init__(self) -> None:
        self.tracker = InFlightTracker()
        self.normal = 0.0


class ConcurrencyLimiter:
    """Counts the requests in this process by sort, which is their route (its name)."""

    def __init__(self, config: ConcurrencyLimits) -> None:
        self._config = config
        self._sorts: dict[str, _Sort] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """How many requests are in this process."""
        return self._total

    def allowed(self, sort: str, rank: int) -> float:
        """How many requests of the sort may be in progress at once."""
        config = self._config
        others = sum(known.normal for name, known in self._sorts.items() if name != sort)
        ranks = min(max(0, rank), config.most_ranks)
        headroom = config.headroom + config.headroom_per_rank * ranks
        return max(1.0, config.resources * (1.0 - headroom) - others)

    def admit(self, sort: str, rank: int, now: float) -> Admission:
        """Whether one more request of the sort is admitted; `now` in seconds."""
        known = self._find(sort)
        count = len(known.tracker)
        is_full = self._total >= self._config.resources * self._config.usable
        if is_full or count + 1 > self.allowed(sort, rank):
            return Admission(False, self._retry_after(known, now))
        # Only admitted requests count as normal load: a flood must not raise its own limit.
        known.normal += _LEARN * (count + 1 - known.normal)
        return Admission(True, 0.0)

    def begin(self, sort: str, now: float, label: str) -> Permit:
        """Starts to count an admitted request."""
        self._total += 1
        return self._find(sort).tracker.acquire(now, 1.0, label)

    def end(self, sort: str, permit: Permit) -> None:
        """Stops counting a request; a second call for one permit changes nothing."""
        if self._find(sort).tracker.release(permit):
            self._total -= 1

    def _find(self, sort: str) -> _Sort:
        known = self._sorts.get(sort)
        if known is None:
            known = self._sorts[sort] = _Sort()
        return known

    def _retry_after(self, known: _Sort, now: float) -> float:
        # The age of the oldest request of the sort, within bounds.
        for permit in known.tracker.oldest_first():
            return max(0.1, min(5.0, now - permit.started))
        return 0.1
