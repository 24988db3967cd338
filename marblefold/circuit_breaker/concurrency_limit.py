"""Limits the concurrent requests of each route, so that no route starves the others.

Spikes of a route are admitted as long as the normal load of the other routes and
some headroom still fit.
"""

from typing import NamedTuple

from marblefold.circuit_breaker.breaker import Admission
from marblefold.circuit_breaker.in_flight_tracker import InFlightTracker, Permit

__all__ = ["ConcurrencyLimits", "ConcurrencyLimiter"]

_NORMAL_LOAD_SMOOTHING = 0.01
# A route without requests for this long reserves nothing any more.
_UNUSED_SECONDS = 60.0


class ConcurrencyLimits(NamedTuple):
    """How many requests fit at once (`resources`), and the shares of them used or kept free."""

    resources: int
    usable: float = 0.9
    headroom: float = 0.1
    # Additional share kept free for each priority rank below the first.
    headroom_per_rank: float = 0.03
    max_ranks: int = 5


class _RouteLoad:
    """The requests of one route in progress, and their usual number."""

    __slots__ = ("tracker", "normal", "last_admitted_at")

    def __init__(self) -> None:
        self.tracker = InFlightTracker()
        self.normal = 0.0
        self.last_admitted_at = 0.0


class ConcurrencyLimiter:
    """Counts the requests in this process by the name of their route."""

    def __init__(self, config: ConcurrencyLimits) -> None:
        self._config = config
        self._loads: dict[str, _RouteLoad] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """The number of requests in this process."""
        return self._total

    def allowed(self, route: str, rank: int) -> float:
        """Returns how many requests of the route may be in progress at once."""
        config = self._config
        others = sum(load.normal for name, load in self._loads.items() if name != route)
        ranks = min(max(0, rank), config.max_ranks)
        headroom = config.headroom + config.headroom_per_rank * ranks
        return max(1.0, config.resources * (1.0 - headroom) - others)

    def admit(self, route: str, rank: int, now: float) -> Admission:
        """Decides whether one more request of the route is admitted; `now` in seconds."""
        load = self._find(route)
        count = len(load.tracker)
        is_full = self._total >= self._config.resources * self._config.usable
        if is_full or count + 1 > self.allowed(route, rank):
            return Admission(False, self._retry_after(load, now))
        # Only admitted requests count as normal load: a flood must not raise its own limit.
        load.normal += _NORMAL_LOAD_SMOOTHING * (count + 1 - load.normal)
        load.last_admitted_at = now
        return Admission(True, 0.0)

    def begin(self, route: str, now: float, label: str) -> Permit:
        """Starts to count an admitted request."""
        self._total += 1
        return self._find(route).tracker.acquire(now, 1.0, label)

    def end(self, route: str, permit: Permit) -> None:
        """Stops counting a request; a second call for one permit changes nothing."""
        if self._find(route).tracker.release(permit):
            self._total -= 1

    def forget_unused(self, now: float) -> None:
        """Forgets routes without requests for a minute, such as removed or renamed ones.

        `now` is in the seconds of `admit`.
        """
        for route, load in list(self._loads.items()):
            if not len(load.tracker) and now - load.last_admitted_at > _UNUSED_SECONDS:
                del self._loads[route]

    def _find(self, route: str) -> _RouteLoad:
        load = self._loads.get(route)
        if load is None:
            load = self._loads[route] = _RouteLoad()
        return load

    def _retry_after(self, load: _RouteLoad, now: float) -> float:
        # The age of the oldest request of the route, clamped.
        for permit in load.tracker.oldest_first():
            return max(0.1, min(5.0, now - permit.started))
        return 0.1
