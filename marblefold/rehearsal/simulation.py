"""A discrete-event simulation of traffic through a mesh that loses zones.

Every node runs the real request decision, target selection, circuit breaker and
retry budget; only time, links and targets are simulated. Nothing is sent over
the network, and no real time is waited for.
"""

import heapq
import itertools
import math
import random
import time
from collections.abc import Callable, Iterator
from functools import partial

from marblefold.configuration.rows import Route
from marblefold.leases.held_leases import LEASE_SECONDS
from marblefold.membership.prober import ProberConfig
from marblefold.registry.traffic_rates import Flow
from marblefold.rehearsal.origins import make_origins, make_view
from marblefold.rehearsal.outcome_statistics import OutcomeStatistics, Phase
from marblefold.rehearsal.simulated_guard import SimulatedGuard
from marblefold.rehearsal.simulated_request import SimulatedRequest
from marblefold.rehearsal.simulation_config import SimulationConfig
from marblefold.rehearsal.simulation_context import LossListener
from marblefold.rehearsal.snapshot import ASSUMED_KILOBYTES, Snapshot
from marblefold.request_path.mesh_view import KnownTarget

__all__ = ["Simulation", "detection_seconds"]

# The time in which gossip doubles the number of nodes that know of a suspicion.
_GOSSIP_ROUND_SECONDS = 0.2


class Simulation:
    """One run of a simulation.

    Times are seconds of a simulated clock, which starts at the time of the monotonic clock.
    """

    def __init__(
        self,
        snapshot: Snapshot,
        lost: frozenset[str],
        config: SimulationConfig = SimulationConfig(),
        statistics: OutcomeStatistics | None = None,
    ) -> None:
        self.config = config
        self.statistics = statistics if statistics is not None else OutcomeStatistics()
        self.now = time.monotonic()
        self.view = make_view(snapshot)
        self.random = random.Random(config.seed)
        self._snapshot = snapshot
        self._lost = lost
        self._started_at = self.now
        self.loss_at = self.now + config.before_loss_seconds
        self.is_loss_past = False
        # Services whose owner's agent is lost and whose lease has expired.
        self.lapsed: set[str] = set()
        self.settled_at = self.loss_at + detection_seconds(len(snapshot.origins))
        self._origins = make_origins(snapshot, self.view, lambda: self.now, config.seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._routes = {route.name: route for route in snapshot.mesh_state.rows.routes}
        self._route_service_seconds = self._find_route_service_seconds()
        self.guards = {
            target.node: SimulatedGuard(target, self._service_seconds(target.upstream))
            for name in {target.upstream for target in snapshot.mesh_state.targets}
            for target in self.view.targets(name)
        }
        # Ordered by arrival, so that a seed always produces the same run.
        self.active_requests: dict[LossListener, None] = {}

    @property
    def expected_requests(self) -> float:
        """The expected number of requests of the run."""
        rate = sum(flow.per_second for flow in self._snapshot.flows)
        return rate * (self.config.before_loss_seconds + self.config.after_loss_seconds)

    def run(self, slice_events: int = 100) -> Iterator[None]:
        """Runs the simulation to its end; yields after every `slice_events` events."""
        for flow in self._snapshot.flows:
            route = self._routes.get(flow.route)
            if route is not None and flow.per_second > 0:
                self.schedule_after(
                    self._interarrival_seconds(flow), partial(self._arrive, flow, route)
                )
        self.schedule_at(self.loss_at, self._lose_zones)
        end = self.loss_at + self.config.after_loss_seconds
        processed = 0
        while self._events and self._events[0][0] <= end:
            self.now, _number, callback = heapq.heappop(self._events)
            callback()
            processed += 1
            if processed % slice_events == 0:
                yield

    def schedule_at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedules a callback at the time `when`, or now if that has passed."""
        heapq.heappush(self._events, (max(when, self.now), next(self._event_numbers), callback))

    def schedule_after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Schedules a callback `seconds` from now."""
        self.schedule_at(self.now + seconds, callback)

    def is_lost(self, zone: str) -> bool:
        """Whether the zone has been lost."""
        return self.is_loss_past and zone in self._lost

    def phase(self, arrived: float) -> Phase | None:
        """Returns the phase of a request by its arrival; None in the warm-up, which is not counted.

        The warm-up is the first third of the time before the loss.
        """
        if arrived < self._started_at + self.config.before_loss_seconds / 3:
            return None
        if arrived < self.loss_at:
            return Phase.BEFORE
        return Phase.UNSETTLED if arrived < self.settled_at else Phase.AFTER

    def phase_seconds(self, phase: Phase) -> float:
        """Returns the length of the phase in seconds."""
        unsettled = self.settled_at - self.loss_at
        return {
            Phase.BEFORE: self.config.before_loss_seconds * 2 / 3,
            Phase.UNSETTLED: unsettled,
            Phase.AFTER: max(0.1, self.config.after_loss_seconds - unsettled),
        }[phase]

    def delay_seconds(self, zone: str, target: KnownTarget) -> float:
        """Returns the one-way delay from a zone to a target, in seconds."""
        if zone == target.zone:
            return self.config.in_zone_delay_seconds
        regions = self._snapshot.zone_regions
        if regions.get(zone) == regions.get(target.zone):
            return self.config.cross_zone_delay_seconds
        return self.config.cross_region_delay_seconds

    def _service_seconds(self, upstream: str) -> float:
        known = self._snapshot.service_seconds.get(upstream)
        if known is not None:
            return known
        # If the service time of the targets is unknown, the mean duration of a request is used.
        routes = {
            route.name
            for route in self._snapshot.mesh_state.rows.routes
            if upstream in route.upstreams
        }
        flows = [flow for flow in self._snapshot.flows if flow.route in routes]
        rate = sum(flow.per_second for flow in flows)
        if not rate:
            return 0.05
        return max(1e-4, sum(flow.per_second * flow.seconds for flow in flows) / rate)

    def route_service_seconds(self, route: str, upstream: str) -> float:
        """Returns the mean service time of a request of the route at the service, in seconds."""
        return self._route_service_seconds.get((route, upstream)) or self._service_seconds(upstream)

    def _find_route_service_seconds(self) -> dict[tuple[str, str], float]:
        """Returns mean service times by route and service.

        The mean of a service is divided over its routes in proportion to how long their
        requests take as a whole.
        """
        sums: dict[tuple[str, str], list[float]] = {}
        for flow in self._snapshot.flows:
            route = self._routes.get(flow.route)
            if route is None:
                continue
            for upstream, weight in zip(route.upstreams, route.weights, strict=True):
                row = sums.setdefault((flow.route, upstream), [0.0, 0.0])
                rate = flow.per_second * weight / sum(route.weights)
                row[0] += rate
                row[1] += rate * flow.seconds
        service_seconds = {}
        for (name, upstream), (rate, busy_seconds) in sums.items():
            rows = [row for (_name, served_by), row in sums.items() if served_by == upstream]
            mean = sum(row[1] for row in rows) / max(1e-9, sum(row[0] for row in rows))
            if rate and mean:
                service_seconds[name, upstream] = max(
                    1e-4, self._service_seconds(upstream) * busy_seconds / rate / mean
                )
        return service_seconds

    def _interarrival_seconds(self, flow: Flow) -> float:
        # Arrivals form a Poisson process: near full capacity, queueing depends on their randomness.
        return self.random.expovariate(flow.per_second)

    def _arrive(self, flow: Flow, route: Route) -> None:
        self.schedule_after(self._interarrival_seconds(flow), lambda: self._arrive(flow, route))
        zone = flow.zone
        if self.is_lost(zone):
            # Clients of a lost zone send nothing until the platform moves them elsewhere.
            seconds_since_loss = self.now - self.loss_at
            if (
                not self.config.clients_move
                or seconds_since_loss < self.config.clients_move_after_seconds
            ):
                return
            zone = self._choose_new_zone(flow)
        upstream = self.random.choices(route.upstreams, route.weights)[0]
        origin = self.random.choice(self._origins[zone])
        kilobytes = ASSUMED_KILOBYTES if flow.kilobytes is None else flow.kilobytes
        SimulatedRequest(self, origin, route, upstream, kilobytes).start()

    def _choose_new_zone(self, flow: Flow) -> str:
        """Returns the zone that a client of a lost zone moves to.

        Zones are weighted by the traffic of the route that originates in them.
        """
        remaining = [
            flow_elsewhere
            for flow_elsewhere in self._snapshot.flows
            if flow_elsewhere.route == flow.route and flow_elsewhere.zone not in self._lost
        ]
        if not remaining or not sum(other.per_second for other in remaining):
            return self.random.choice(sorted(set(self._origins) - self._lost))
        return self.random.choices(remaining, [other.per_second for other in remaining])[0].zone

    def _lose_zones(self) -> None:
        """Loses the zones, with every request in progress there."""
        self.is_loss_past = True
        for request in list(self.active_requests):
            request.note_zone_loss()
        self.schedule_at(self.settled_at, self._suspect_lost_targets)
        for upstream, owner in self._snapshot.owners.items():
            zone = self._snapshot.registries.get(owner.agent)
            if zone in self._lost:
                self.schedule_after(LEASE_SECONDS, partial(self.lapsed.add, upstream))

    def _suspect_lost_targets(self) -> None:
        # Membership has spread the suspicion to every node by now.
        self.view.suspects.update(
            guard.target.node for guard in self.guards.values() if self.is_lost(guard.target.zone)
        )


def detection_seconds(node_count: int) -> float:
    """Returns the seconds until all nodes suspect the lost ones, by the settings of the prober."""
    config = ProberConfig()
    rounds = math.log2(max(2, node_count))
    return (
        config.probe_interval_seconds
        + config.direct_timeout_seconds
        + config.indirect_timeout_seconds
        + rounds * _GOSSIP_ROUND_SECONDS
    )
