"""What a forecast says; rates are per second, times in seconds."""

from typing import NamedTuple

__all__ = ["Capacity", "Control", "Forecast", "Kind"]


class Kind(NamedTuple):
    """The requests of one route to one service; rates are a second."""

    route: str
    upstream: str
    kind: str
    before: float
    # Where it is answered, by zone.
    zones_before: dict[str, float]
    zones_after: dict[str, float]
    # Of what goes on, the rate that the lost places answered before.
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
    """A service's slots, and how many are in use in the mean."""

    upstream: str
    slots_before: int
    slots_after: int
    used_before: float
    used_after: float


class Control(NamedTuple):
    """What becomes of those that hold the operator's words."""

    stores: int
    stores_left: int
    has_majority: bool
    notes: tuple[str, ...]


class Forecast(NamedTuple):
    """The whole of it."""

    lost: tuple[str, ...]
    settles_after: float
    kinds: tuple[Kind, ...]
    capacity: tuple[Capacity, ...]
    control: Control
    gaps: tuple[str, ...]

    @property
    def is_harmless(self) -> bool:
        """Whether all is carried: nothing stalls that did not before, nothing may double."""
        return (
            not any(
                kind.may_go_twice
                or kind.stalls_after > kind.stalls_before + 0.005 * kind.before
                or kind.stalls_unsettled > kind.stalls_before + 0.02 * kind.before
                for kind in self.kinds
            )
            and self.control.has_majority
        )
