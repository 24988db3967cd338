"""The nodes of a rehearsal, each with the RoutingState of a real proxy."""

from collections.abc import Callable

from marblefold.configuration.route_table import RouteTable
from marblefold.inner_protocol.messages import kinds
from marblefold.node_config.model import Bounds, Limits
from marblefold.rehearsal.snapshot import Snapshot
from marblefold.request_path.mesh_view import MeshView
from marblefold.request_path.routing_state import RoutingState
from marblefold.request_path.target_selection import TargetSelector
from marblefold.wire_names import DRAINING, READY

__all__ = ["Origin", "make_origins", "make_view"]

# Descriptors and memory are not limited in a rehearsal.
_LIMITS = Limits(memory_mb=1e6, file_descriptors=1_000_000)
_COLD_SECONDS = 3.0


class Origin:
    """A node where requests begin."""

    def __init__(self, zone: str, routing_state: RoutingState) -> None:
        self.zone = zone
        self.routing_state = routing_state


def make_view(snapshot: Snapshot) -> MeshView:
    """The MeshView that all nodes share, built from real catalogue entries."""
    view = MeshView("rehearsal")
    view.table = RouteTable(snapshot.facts.rows)
    for target in snapshot.facts.targets:
        notice = kinds.TargetNotice(
            node=target.node,
            node_life=1,
            notice_number=1,
            address=target.node,
            zone=target.zone,
            region=target.region or snapshot.zone_regions.get(target.zone, ""),
            instance=target.instance,
            upstream=target.upstream,
            slots=target.slots,
            state=DRAINING if target.is_draining else READY,
            leaving=target.is_leaving,
            cold_left_ms=int(_COLD_SECONDS * 1000) if target.cold_until else 0,
            site=target.site,
            site_agent=target.site_agent,
        )
        view.apply(
            kinds.Entry(
                kind="target", key=target.node, life=1, number=1, value=notice.SerializeToString()
            )
        )
    view.evacuated = set(snapshot.facts.evacuated)
    view.owners = dict(snapshot.owners)
    return view


def make_origins(
    snapshot: Snapshot,
    view: MeshView,
    clock: Callable[[], float],
    seed: int,
) -> dict[str, list[Origin]]:
    """The nodes by zone; a zone without known nodes gets one. `clock` in seconds."""
    view.proxies = max(1, len(snapshot.origins))
    bounds = _make_bounds(snapshot)
    origins: dict[str, list[Origin]] = {zone: [] for zone in snapshot.zone_regions}
    nodes = list(snapshot.origins.items())
    known = {zone for _node, zone in nodes}
    nodes.extend((zone, zone) for zone in snapshot.zone_regions if zone not in known)
    for number, (_node, zone) in enumerate(sorted(nodes)):
        selector = TargetSelector(view, zone, seed=seed + number)
        origins.setdefault(zone, []).append(
            Origin(zone, RoutingState(view, selector, bounds, _LIMITS, clock, _tell_nobody))
        )
    return origins


def _tell_nobody(*_event, **_more) -> None:
    """Events of rehearsed nodes are not logged."""


def _make_bounds(snapshot: Snapshot) -> Bounds:
    retry = snapshot.retry
    none = retry.window * 0
    return Bounds(
        none,
        none,
        none,
        none,
        none,
        none,
        none,
        retry.ratio,
        retry.window,
        retry.slack,
        1.5,
        5.0,
        none,
        none,
    )
