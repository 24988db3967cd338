"""What a forecast says; rates are per second, times in seconds."""

from typing import NamedTuple

__all__ = ["Capacity", "ControlPlane", "Forecast", "RouteForecast"]


class RouteForecast(NamedTuple):
    """The requests of one route to one service; rates per second, `late_*` as shares."""

    route: str
    upstream: str
    kind: str
    before: float
    # Where it is answered, by zone.
    zones_before: dict[str, float]
    zones_after: dict[str, float]
    # The part of what the lost zones answered that is now answered elsewhere.
    carried_elsewhere: float
    gone_with_clients: float
    stalls_before: float
    stalls_unsettled: float
    stalls_after: float
    reasons: dict[str, int]
    late_before: float
    late_after: float
    repeated_reads: int
    may_go_twice: int


class Capacity(NamedTuple):
    """The slots of a service, and their mean use."""

    upstream: str
    slots_before: int
    slots_after: int
    used_before: float
    used_after: float


class ControlPlane(NamedTuple):
    """The stores: how many are left, and what follows for control."""

    stores: int
    stores_left: int
    has_majority: bool
    notes: tuple[str, ...]


class Forecast(NamedTuple):
    """The forecast; `settled_after_seconds` is the time until all nodes know of the loss."""

    lost: tuple[str, ...]
    settled_after_seconds: float
    routes: tuple[RouteForecast, ...]
    capacity: tuple[Capacity, ...]
    control: ControlPlane
    gaps: tuple[str, ...]

    @property
    def is_harmless(self) -> bool:
        """Whether nothing stalls beyond what did before, nothing may run twice, and a majority
        of the stores is left."""
        return (
            not any(
                route.may_go_twice
                or route.stalls_after > route.stalls_before + 0.005 * route.before
                or route.stalls_unsettled > route.stalls_before + 0.02 * route.before
                for route in self.routes
            )
            and self.control.has_majority
        )
