"""A discrete-event simulation of traffic through a mesh that loses zones.

Every node runs the real decision, target selection, breaker and retry budget;
only time, links and targets are simulated.  Nothing is sent or waited for.
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
from marblefold.rehearsal.flight import Flight
from marblefold.rehearsal.guards import RehearsedGuard
from marblefold.rehearsal.origins import make_origins, make_view
from marblefold.rehearsal.play_config import PlayConfig
from marblefold.rehearsal.snapshot import ASSUMED_KILOBYTES, Snapshot
from marblefold.rehearsal.stage import LossListener
from marblefold.rehearsal.tally import Phase, Tally
from marblefold.request_path.mesh_view import KnownTarget

__all__ = ["Play", "detection_seconds"]

_PASS_ON_SECONDS = 0.2


class Play:
    """One simulated run; times in seconds on its own clock, which starts at the real one's time."""

    def __init__(
        self,
        snapshot: Snapshot,
        lost: frozenset[str],
        config: PlayConfig = PlayConfig(),
        tally: Tally | None = None,
    ) -> None:
        self.config = config
        self.tally = tally if tally is not None else Tally()
        self.now = time.monotonic()
        self.view = make_view(snapshot)
        self.random = random.Random(config.seed)
        self._snapshot = snapshot
        self._lost = lost
        self._began = self.now
        self.loss_at = self.now + config.warm_seconds
        self.is_dark = False
        # Services whose owner's agent is lost and whose lease has expired.
        self.lapsed: set[str] = set()
        self.settled_at = self.loss_at + detection_seconds(len(snapshot.origins))
        self._origins = make_origins(snapshot, self.view, lambda: self.now, config.seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._routes = {route.name: route for route in snapshot.facts.rows.routes}
        self._works = self._find_works()
        self.guards = {
            target.node: RehearsedGuard(target, self._service_seconds(target.upstream))
            for name in {target.upstream for target in snapshot.facts.targets}
            for target in self.view.targets(name)
        }
        # In order of arrival, so that one seed always gives the same run.
        self.flights: dict[LossListener, None] = {}

    @property
    def expected_requests(self) -> float:
        """The expected number of requests of the run."""
        rate = sum(flow.per_second for flow in self._snapshot.flows)
        return rate * (self.config.warm_seconds + self.config.after_seconds)

    def run(self, slice_events: int = 100) -> Iterator[None]:
        """Runs to the end; yields after each slice of events."""
        for flow in self._snapshot.flows:
            route = self._routes.get(flow.route)
            if route is not None and flow.per_second > 0:
                self.after(self._pause(flow), partial(self._arrive, flow, route))
        self.at(self.loss_at, self._lose)
        end = self.loss_at + self.config.after_seconds
        played = 0
        while self._events and self._events[0][0] <= end:
            self.now, _number, act = heapq.heappop(self._events)
            act()
            played += 1
            if played % slice_events == 0:
                yield

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Schedules a callback at a time."""
        heapq.heappush(self._events, (max(when, self.now), next(self._order), act))

    def after(self, seconds: float, act: Callable[[], None]) -> None:
        """Schedules a callback in so many seconds."""
        self.at(self.now + seconds, act)

    def is_lost(self, zone: str) -> bool:
        """Whether the zone is lost."""
        return self.is_dark and zone in self._lost

    def phase(self, arrived: float) -> Phase | None:
        """The phase of a request by its arrival; None for the warm-up, which is not counted."""
        if arrived < self._began + self.config.warm_seconds / 3:
            return None
        if arrived < self.loss_at:
            return Phase.BEFORE
        return Phase.UNSETTLED if arrived < self.settled_at else Phase.AFTER

    def phase_seconds(self, phase: Phase) -> float:
        """Length of the phase in seconds."""
        unsettled = self.settled_at - self.loss_at
        return {
            Phase.BEFORE: self.config.warm_seconds * 2 / 3,
            Phase.UNSETTLED: unsettled,
            Phase.AFTER: max(0.1, self.config.after_seconds - unsettled),
        }[phase]

    def delay(self, zone: str, target: KnownTarget) -> float:
        """One-way delay in seconds from a zone to a target."""
        if zone == target.zone:
            return self.config.in_zone
        regions = self._snapshot.zone_regions
        if regions.get(zone) == regions.get(target.zone):
            return self.config.cross_zone
        return self.config.cross_region

    def _service_seconds(self, upstream: str) -> float:
        known = self._snapshot.service_seconds.get(upstream)
        if known is not None:
            return known
        # Without the targets' own figure the whole time of a request is used.
        routes = {
            route.name for route in self._snapshot.facts.rows.routes if upstream in route.upstreams
        }
        flows = [flow for flow in self._snapshot.flows if flow.route in routes]
        rate = sum(flow.per_second for flow in flows)
        if not rate:
            return 0.05
        return max(1e-4, sum(flow.per_second * flow.seconds for flow in flows) / rate)

    def work_seconds(self, route: str, upstream: str) -> float:
        """Mean service time in seconds of a request of the route at the service."""
        return self._works.get((route, upstream)) or self._service_seconds(upstream)

    def _find_works(self) -> dict[tuple[str, str], float]:
        """Service times by route: a service's mean, scaled by the whole times of its routes."""
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
        works = {}
        for (name, upstream), (rate, time_taken) in sums.items():
            whole = [row for (_name, of), row in sums.items() if of == upstream]
            mean = sum(row[1] for row in whole) / max(1e-9, sum(row[0] for row in whole))
            if rate and mean:
                works[name, upstream] = max(
                    1e-4, self._service_seconds(upstream) * time_taken / rate / mean
                )
        return works

    def _pause(self, flow: Flow) -> float:
        # Poisson arrivals: near full capacity the randomness matters.
        return self.random.expovariate(flow.per_second)

    def _arrive(self, flow: Flow, route: Route) -> None:
        self.after(self._pause(flow), lambda: self._arrive(flow, route))
        zone = flow.zone
        if self.is_lost(zone):
            # Clients of a lost zone are lost too, until the platform moves them.
            since = self.now - self.loss_at
            if not self.config.clients_move or since < self.config.clients_move_seconds:
                return
            zone = self._move(flow)
        upstream = self.random.choices(route.upstreams, route.weights)[0]
        origin = self.random.choice(self._origins[zone])
        kilobytes = ASSUMED_KILOBYTES if flow.kilobytes is None else flow.kilobytes
        Flight(self, origin, route, upstream, kilobytes).begin()

    def _move(self, flow: Flow) -> str:
        """The zone that a client of a lost zone moves to: as the other clients of its route."""
        left = [
            other
            for other in self._snapshot.flows
            if other.route == flow.route and other.zone not in self._lost
        ]
        if not left or not sum(other.per_second for other in left):
            return self.random.choice(sorted(set(self._origins) - self._lost))
        return self.random.choices(left, [other.per_second for other in left])[0].zone

    def _lose(self) -> None:
        """The lost zones are lost, with all that is in progress there."""
        self.is_dark = True
        for flight in list(self.flights):
            flight.note_loss()
        self.at(self.settled_at, self._learn_of_loss)
        for upstream, owner in self._snapshot.owners.items():
            zone = self._snapshot.registries.get(owner.agent)
            if zone in self._lost:
                self.after(LEASE_SECONDS, partial(self.lapsed.add, upstream))

    def _learn_of_loss(self) -> None:
        # By now membership has spread the suspicion to every node.
        self.view.suspects.update(
            guard.target.node for guard in self.guards.values() if self.is_lost(guard.target.zone)
        )


def detection_seconds(nodes: int) -> float:
    """Seconds until all nodes suspect the lost ones, from the settings of the prober."""
    config = ProberConfig()
    hops = math.log2(max(2, nodes))
    return (
        config.probe_interval_seconds
        + config.direct_timeout_seconds
        + config.indirect_timeout_seconds
        + hops * _PASS_ON_SECONDS
    )
