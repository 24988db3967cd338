"""The types of a forecast; rates are per second, times in seconds."""

from typing import NamedTuple

__all__ = ["Capacity", "ControlPlane", "Forecast", "RouteForecast"]


class RouteForecast(NamedTuple):
    """The forecast for the requests of one route to one service.

    Rates are per second; `late_before` and `late_after` are shares from 0 to 1.
    """

    route: str
    upstream: str
    kind: str
    before: float
    # The rate of answers by zone.
    zones_before: dict[str, float]
    zones_after: dict[str, float]
    # The rate of requests that the lost zones answered and other zones answer now.
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
    """The slots of a service, and how many are in use on average."""

    upstream: str
    slots_before: int
    slots_after: int
    used_before: float
    used_after: float


class ControlPlane(NamedTuple):
    """The remaining stores, and the consequences for the control plane."""

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
        """Whether a majority of the stores remains, and no route suffers from the loss.

        No request may run twice. The rate of stalls may grow by at most 2 % of the previous
        request rate until all nodes know of the loss, and by at most 0.5 % after that.
        """
        return (
            not any(
                route.may_go_twice
                or route.stalls_after > route.stalls_before + 0.005 * route.before
                or route.stalls_unsettled > route.stalls_before + 0.02 * route.before
                for route in self.routes
            )
            and self.control.has_majority
        )
