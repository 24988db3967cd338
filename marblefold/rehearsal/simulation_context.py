"""The interface between a simulation and its requests, so that neither imports the other."""

import random
from collections.abc import Callable, Mapping
from typing import Protocol

from marblefold.rehearsal.outcome_statistics import OutcomeStatistics, Phase
from marblefold.rehearsal.simulated_guard import SimulatedGuard
from marblefold.rehearsal.simulation_config import SimulationConfig
from marblefold.request_path.mesh_view import KnownTarget, MeshView

__all__ = ["LossListener", "SimulationContext"]


class LossListener(Protocol):
    """A request in progress, which is notified of the loss of zones."""

    def note_zone_loss(self) -> None:
        """Handles the loss of the zones, which has just happened."""


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
    # Services whose owner's lease has expired.
    lapsed: set[str]

    @property
    def guards(self) -> Mapping[str, SimulatedGuard]:
        """The guards of the targets, by node name."""

    def schedule_after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Schedules a callback `seconds` from now."""

    def is_lost(self, zone: str) -> bool:
        """Whether the zone is lost."""

    def delay_seconds(self, zone: str, target: KnownTarget) -> float:
        """Returns the one-way delay from a zone to a target."""

    def route_service_seconds(self, route: str, upstream: str) -> float:
        """Returns the mean service time of a request of the route at a target of the service."""

    def phase(self, arrived: float) -> Phase | None:
        """Returns the phase that a request with that arrival time counts toward, if any."""
