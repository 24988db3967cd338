"""Compares the state of the mesh before and after a change."""

from collections import defaultdict
from collections.abc import Collection
from typing import NamedTuple

from marblefold.configuration.rows import ConfigurationRows, Route
from marblefold.planner.mesh_state import MeshState
from marblefold.request_path.eligibility import is_eligible, is_last_resort
from marblefold.request_path.mesh_view import KnownTarget

__all__ = ["Capacity", "RouteChange", "Differences", "Share", "compare"]


class RouteChange(NamedTuple):
    """One changed field of a route that exists in both states."""

    route: str
    field: str
    before: object
    after: object


class Share(NamedTuple):
    """The share of the traffic that an upstream or zone receives, from 0 to 1."""

    name: str
    before: float
    after: float


class Capacity(NamedTuple):
    """The slots of an upstream, and its floor: the number of slots that must remain."""

    upstream: str
    before: int
    after: int
    floor: int

    @property
    def is_below_floor(self) -> bool:
        """Whether fewer slots than the floor remain after the change."""
        return self.after < self.floor


class Differences(NamedTuple):
    """The differences between two states; `faults` lists the harmful ones."""

    added: tuple[str, ...]
    removed: tuple[str, ...]
    changed: tuple[RouteChange, ...]
    upstreams: tuple[Share, ...]
    zones: tuple[Share, ...]
    capacity: tuple[Capacity, ...]
    faults: tuple[str, ...]


def compare(
    before: MeshState,
    after: MeshState,
    floors: dict[str, int],
    traffic: dict[str, float],
) -> Differences:
    """Returns the differences between two states of the mesh; a pure function.

    `floors` gives slots by upstream, `traffic` requests per second by route. If
    `traffic` is empty, all routes have the same weight.
    """
    old = {(route.host, route.prefix): route for route in before.rows.routes}
    new = {(route.host, route.prefix): route for route in after.rows.routes}
    capacity = _compare_capacity(before, after, floors)
    return Differences(
        added=tuple(new[key].name for key in new if key not in old),
        removed=tuple(old[key].name for key in old if key not in new),
        changed=tuple(
            change for key in new if key in old for change in _compare_route(old[key], new[key])
        ),
        upstreams=_compare_shares(
            _share_upstreams(before.rows, traffic), _share_upstreams(after.rows, traffic)
        ),
        zones=_compare_shares(_share_zones(before, traffic), _share_zones(after, traffic)),
        capacity=capacity,
        faults=tuple(_find_faults(after, capacity)),
    )


def _compare_route(old: Route, new: Route):
    for field, before, after in zip(Route._fields, old, new, strict=True):
        if before != after:
            yield RouteChange(new.name, field, before, after)


def _compare_shares(before: dict[str, float], after: dict[str, float]) -> tuple[Share, ...]:
    return tuple(
        Share(name, before.get(name, 0.0), after.get(name, 0.0))
        for name in sorted(before.keys() | after.keys())
    )


def _split_traffic(rows: ConfigurationRows, traffic: dict[str, float]):
    """Yields the share of the traffic of each route and upstream."""
    rates = {route.name: traffic.get(route.name, 0.0) if traffic else 1.0 for route in rows.routes}
    total = sum(rates.values()) or 1.0
    for route in rows.routes:
        weights = sum(route.weights)
        for upstream, weight in zip(route.upstreams, route.weights, strict=True):
            yield route, upstream, rates[route.name] / total * weight / weights


def _share_upstreams(rows: ConfigurationRows, traffic: dict[str, float]) -> dict[str, float]:
    shares: dict[str, float] = defaultdict(float)
    for _route, upstream, share in _split_traffic(rows, traffic):
        shares[upstream] += share
    return shares


def _share_zones(mesh_state: MeshState, traffic: dict[str, float]) -> dict[str, float]:
    """Returns the share of the traffic of each zone, spread evenly over the slots."""
    shares: dict[str, float] = defaultdict(float)
    for route, upstream, share in _split_traffic(mesh_state.rows, traffic):
        targets = _find_selectable(mesh_state, upstream, route.allowed_regions)
        slots = sum(target.slots for target in targets)
        for target in targets:
            shares[target.zone] += share * target.slots / slots
        if not targets:
            shares["(nowhere)"] += share
    return shares


def _find_selectable(
    mesh_state: MeshState, upstream: str, allowed_regions: Collection[str]
) -> list[KnownTarget]:
    """Returns the targets that proxies may select, by the rules of the request path."""
    eligible = [
        target
        for target in mesh_state.targets
        if target.upstream == upstream
        and is_eligible(target, mesh_state.evacuated, allowed_regions)
    ]
    return [target for target in eligible if not is_last_resort(target)] or eligible


def count_slots(mesh_state: MeshState, upstream: str) -> int:
    """Returns the slots of an upstream, without those of cold, draining and leaving targets."""
    return sum(
        target.slots
        for target in mesh_state.targets
        if target.upstream == upstream
        and is_eligible(target, mesh_state.evacuated, None)
        and not is_last_resort(target)
        and not target.cold_until
    )


def _compare_capacity(before: MeshState, after: MeshState, floors: dict[str, int]):
    names = {target.upstream for target in before.targets + after.targets} | set(floors)
    names |= {upstream.name for upstream in after.rows.upstreams}
    return tuple(
        Capacity(name, count_slots(before, name), count_slots(after, name), floors.get(name, 0))
        for name in sorted(names)
    )


def _find_faults(after: MeshState, capacity: tuple[Capacity, ...]):
    for row in capacity:
        if row.is_below_floor:
            yield f"{row.upstream}: {row.after} slots left, the floor is {row.floor}"
    for route in after.rows.routes:
        for upstream in route.upstreams:
            # Without known targets (no state was given) this cannot be checked.
            if after.targets and not _find_selectable(after, upstream, route.allowed_regions):
                yield f"route {route.name}: no target of {upstream} is left"
