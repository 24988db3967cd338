"""The effects of a change: a pure comparison of the mesh before and after it."""

from collections import defaultdict
from collections.abc import Collection
from typing import NamedTuple

from marblefold.configuration.rows import ConfigurationRows, Route
from marblefold.planner.facts import Facts
from marblefold.request_path.eligibility import is_eligible, is_last_resort
from marblefold.request_path.mesh_view import KnownTarget

__all__ = ["Capacity", "RouteChange", "Moved", "Share", "compare"]


class RouteChange(NamedTuple):
    """One field that differs in a route which both states have."""

    route: str
    field: str
    before: object
    after: object


class Share(NamedTuple):
    """The share of the traffic (0 to 1) of an upstream or zone."""

    name: str
    before: float
    after: float


class Capacity(NamedTuple):
    """The slots of an upstream, and its floor: the slots that must remain."""

    upstream: str
    before: int
    after: int
    floor: int

    @property
    def is_below(self) -> bool:
        """Whether the change takes it below the floor."""
        return self.after < self.floor


class Moved(NamedTuple):
    """All differences, and as `faults` what would be harmful."""

    added: tuple[str, ...]
    removed: tuple[str, ...]
    changed: tuple[RouteChange, ...]
    upstreams: tuple[Share, ...]
    zones: tuple[Share, ...]
    capacity: tuple[Capacity, ...]
    faults: tuple[str, ...]


def compare(
    before: Facts,
    after: Facts,
    floors: dict[str, int],
    traffic: dict[str, float],
) -> Moved:
    """Compares two states of the mesh.

    `floors` are slots by upstream, `traffic` requests per second by route; without
    traffic all routes count alike.
    """
    old = {(route.host, route.prefix): route for route in before.rows.routes}
    new = {(route.host, route.prefix): route for route in after.rows.routes}
    capacity = _compare_capacity(before, after, floors)
    return Moved(
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


def _flows(rows: ConfigurationRows, traffic: dict[str, float]):
    """Each route's part of the traffic, split over its upstreams."""
    rates = {route.name: traffic.get(route.name, 0.0) if traffic else 1.0 for route in rows.routes}
    total = sum(rates.values()) or 1.0
    for route in rows.routes:
        weights = sum(route.weights)
        for upstream, weight in zip(route.upstreams, route.weights, strict=True):
            yield route, upstream, rates[route.name] / total * weight / weights


def _share_upstreams(rows: ConfigurationRows, traffic: dict[str, float]) -> dict[str, float]:
    shares: dict[str, float] = defaultdict(float)
    for _route, upstream, part in _flows(rows, traffic):
        shares[upstream] += part
    return shares


def _share_zones(facts: Facts, traffic: dict[str, float]) -> dict[str, float]:
    """Traffic by zone, spread evenly over the slots."""
    shares: dict[str, float] = defaultdict(float)
    for route, upstream, part in _flows(facts.rows, traffic):
        targets = _selectable(facts, upstream, route.allowed_regions)
        slots = sum(target.slots for target in targets)
        for target in targets:
            shares[target.zone] += part * target.slots / slots
        if not targets:
            shares["(nowhere)"] += part
    return shares


def _selectable(facts: Facts, upstream: str, homes: Collection[str]) -> list[KnownTarget]:
    """The targets that proxies would select, by the rules of the request path."""
    eligible = [
        target
        for target in facts.targets
        if target.upstream == upstream and is_eligible(target, facts.evacuated, homes)
    ]
    return [target for target in eligible if not is_last_resort(target)] or eligible


def count_slots(facts: Facts, upstream: str) -> int:
    """The slots of an upstream, without those of cold, draining and leaving targets."""
    return sum(
        target.slots
        for target in facts.targets
        if target.upstream == upstream
        and is_eligible(target, facts.evacuated, None)
        and not is_last_resort(target)
        and not target.cold_until
    )


def _compare_capacity(before: Facts, after: Facts, floors: dict[str, int]):
    names = {target.upstream for target in before.targets + after.targets} | set(floors)
    names |= {upstream.name for upstream in after.rows.upstreams}
    return tuple(
        Capacity(name, count_slots(before, name), count_slots(after, name), floors.get(name, 0))
        for name in sorted(names)
    )


def _find_faults(after: Facts, capacity: tuple[Capacity, ...]):
    for row in capacity:
        if row.is_below:
            yield f"{row.upstream}: {row.after} slots left, the floor is {row.floor}"
    for route in after.rows.routes:
        for upstream in route.upstreams:
            # Without any known targets (no state given) nothing can be said.
            if after.targets and not _selectable(after, upstream, route.allowed_regions):
                yield f"route {route.name}: no target of {upstream} is left"
