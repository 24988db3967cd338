"""Summarizes the outcome statistics of simulation runs as a forecast."""

import math
from collections.abc import Iterator

from marblefold.configuration.rows import Route
from marblefold.leases.held_leases import LEASE_SECONDS
from marblefold.planner.comparison import count_slots
from marblefold.rehearsal.forecast_model import Capacity, ControlPlane, Forecast, RouteForecast
from marblefold.rehearsal.outcome_statistics import OutcomeCounts, Phase
from marblefold.rehearsal.simulation import Simulation
from marblefold.rehearsal.snapshot import Snapshot
from marblefold.request_path.eligibility import is_eligible
from marblefold.request_path.outcome import NO_SLOT

__all__ = ["summarize"]


def summarize(
    snapshot: Snapshot,
    lost: frozenset[str],
    simulation: Simulation,
    runs: int,
) -> Forecast:
    """Returns the forecast from the statistics of `runs` runs; `simulation` is any one of them."""
    routes_by_name = {route.name: route for route in snapshot.mesh_state.rows.routes}
    pairs = sorted({(route, upstream) for route, upstream, _phase in simulation.statistics.rows})
    route_forecasts = []
    for name, upstream in pairs:
        rows = {
            phase: simulation.statistics.rows.get((name, upstream, phase), OutcomeCounts())
            for phase in Phase
        }
        route_forecasts.append(
            _make_route_forecast(
                snapshot, lost, simulation, runs, routes_by_name[name], upstream, rows
            )
        )
    return Forecast(
        tuple(sorted(lost)),
        simulation.settled_at - simulation.loss_at,
        tuple(route_forecasts),
        tuple(_find_capacity(snapshot, lost, simulation, route_forecasts)),
        _find_control(snapshot, lost, simulation),
        snapshot.gaps,
    )


def _make_route_forecast(
    snapshot: Snapshot,
    lost: frozenset[str],
    simulation: Simulation,
    runs: int,
    route: Route,
    upstream: str,
    rows: dict[Phase, OutcomeCounts],
) -> RouteForecast:
    def rate(phase: Phase, count: int) -> float:
        return count / simulation.phase_seconds(phase) / runs

    before, unsettled, after = (rows[phase] for phase in Phase)
    zones_before = {zone: rate(Phase.BEFORE, count) for zone, count in sorted(before.zones.items())}
    zones_after = {zone: rate(Phase.AFTER, count) for zone, count in sorted(after.zones.items())}
    total_before = rate(Phase.BEFORE, before.count)
    total_after = rate(Phase.AFTER, after.count)
    lost_share = sum(zones_before.get(zone, 0.0) for zone in lost) / max(
        1e-9, sum(zones_before.values())
    )
    stalls = {phase: rate(phase, rows[phase].results.get("stalled", 0)) for phase in Phase}
    reasons: dict[str, int] = {}
    for row in (unsettled, after):
        for step, count in row.steps.items():
            reason = _explain(snapshot, lost, route, upstream, step)
            reasons[reason] = reasons.get(reason, 0) + math.ceil(count / runs)
    return RouteForecast(
        route.name,
        upstream,
        route.kind,
        total_before,
        zones_before,
        zones_after,
        min(sum(zones_after.values()), total_after * lost_share),
        max(0.0, total_before - total_after),
        stalls[Phase.BEFORE],
        stalls[Phase.UNSETTLED],
        stalls[Phase.AFTER],
        reasons,
        before.late / max(1, before.count),
        after.late / max(1, after.count),
        math.ceil((unsettled.repeated + after.repeated) / runs),
        math.ceil(simulation.statistics.possible_duplicates.get((route.name, upstream), 0) / runs),
    )


def _explain(
    snapshot: Snapshot, lost: frozenset[str], route: Route, upstream: str, step: str
) -> str:
    """Returns the reason shown to the operator for a request that was not carried."""
    remaining = [
        target
        for target in snapshot.mesh_state.targets
        if target.upstream == upstream and target.zone not in lost
    ]
    owner = snapshot.owners.get(upstream)
    if step == NO_SLOT:
        return "capacity short"
    if not remaining:
        return "no target left"
    # Whichever step the request ended at, the cause is that no target is eligible.
    if not [
        target for target in remaining if is_eligible(target, (), route.allowed_regions, owner)
    ]:
        return "homes or owner forbid what is left"
    if all(target.zone in snapshot.mesh_state.evacuated for target in remaining):
        return "what is left is evacuated"
    return {
        "select": "no target that was not tried",
        "retry budget": "retry budget spent",
        "silent": "sent to a lost zone",
        "connection": "sent to a lost zone",
        "connect": "out of reach",
    }.get(step, step)


def _find_capacity(
    snapshot: Snapshot,
    lost: frozenset[str],
    simulation: Simulation,
    route_forecasts: list[RouteForecast],
) -> Iterator[Capacity]:
    mesh_state = snapshot.mesh_state
    state_after = mesh_state._replace(
        targets=tuple(target for target in mesh_state.targets if target.zone not in lost)
    )
    service_seconds = {
        guard.target.upstream: guard.service_seconds for guard in simulation.guards.values()
    }
    for upstream in sorted({target.upstream for target in mesh_state.targets}):
        rates = [
            (sum(route_forecast.zones_before.values()), sum(route_forecast.zones_after.values()))
            for route_forecast in route_forecasts
            if route_forecast.upstream == upstream
        ]
        seconds = service_seconds.get(upstream, 0.0)
        yield Capacity(
            upstream,
            count_slots(mesh_state, upstream),
            count_slots(state_after, upstream),
            seconds * sum(before for before, _after in rates),
            seconds * sum(after for _before, after in rates),
        )


def _find_control(snapshot: Snapshot, lost: frozenset[str], simulation: Simulation) -> ControlPlane:
    count = len(snapshot.registries)
    remaining = sum(1 for zone in snapshot.registries.values() if zone not in lost)
    has_majority = not count or remaining * 2 > count
    notes = []
    if not has_majority:
        notes.append(
            "no majority of the stores is left: no change of configuration or orders is "
            "acknowledged; nodes go on with what they hold"
        )
        if snapshot.has_partners:
            notes.append(f"partner routes lapse after {LEASE_SECONDS:g} s")
    for upstream, owner in sorted(snapshot.owners.items()):
        if snapshot.registries.get(owner.agent) in lost:
            notes.append(
                f"{upstream}: the agent of its owner {owner.site} is lost; after "
                f"{LEASE_SECONDS:g} s it is refused until a site takes it over"
            )
    return ControlPlane(count, remaining, has_majority, tuple(notes))
