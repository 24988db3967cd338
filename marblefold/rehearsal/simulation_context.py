"""What a request of a rehearsal uses of the simulation, so that neither imports the other."""

import random
from collections.abc import Callable, Mapping
from typing import Protocol

from marblefold.rehearsal.outcome_statistics import OutcomeStatistics, Phase
from marblefold.rehearsal.simulated_guard import SimulatedGuard
from marblefold.rehearsal.simulation_config import SimulationConfig
from marblefold.request_path.mesh_view import KnownTarget, MeshView

__all__ = ["LossListener", "SimulationContext"]


class LossListener(Protocol):
    """A request in progress."""

    def note_zone_loss(self) -> None:
        """The lost zones have just been lost."""


class SimulationContext(Protocol):
    """What a SimulatedRequest uses of its Simulation; times in seconds on the simulated clock."""

    config: SimulationConfig
    statistics: OutcomeStatistics
    view: MeshView
    random: random.Random
    now: float
    loss_at: float
    # Requests in progress, in order of arrival.
    active_requests: dict[LossListener, None]
    # Services whose owner's lease has run out.
    lapsed: set[str]

    @property
    def guards(self) -> Mapping[str, SimulatedGuard]:
        """The guard beside each target, by node name."""

    def schedule_after(self, seconds: float, act: Callable[[], None]) -> None:
        """Runs the callback that many seconds from now."""

    def is_lost(self, zone: str) -> bool:
        """Whether the zone is lost."""

    def delay_seconds(self, zone: str, target: KnownTarget) -> float:
        """One-way delay from the zone to the target."""

    def route_service_seconds(self, route: str, upstream: str) -> float:
        """How long a target of the service works on a request of the route."""

    def phase(self, arrived: float) -> Phase | None:
        """The phase that a request of that arrival time counts to, if any."""
