"""The simulated nodes where requests originate, each with the RoutingState of a real proxy."""

from collections.abc import Callable

from marblefold.configuration.route_table import RouteTable
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.node_config.model import Bounds, Limits
from marblefold.rehearsal.snapshot import Snapshot
from marblefold.request_path.mesh_view import MeshView
from marblefold.request_path.routing_state import RoutingState
from marblefold.request_path.target_selection import TargetSelector
from marblefold.wire_names import DRAINING, READY

__all__ = ["Origin", "make_origins", "make_view"]

# High enough that neither memory nor file descriptors limit a simulation.
_LIMITS = Limits(memory_mb=1e6, file_descriptors=1_000_000)
_COLD_START_SECONDS = 3.0


class Origin:
    """A node where requests originate."""

    def __init__(self, zone: str, routing_state: RoutingState) -> None:
        self.zone = zone
        self.routing_state = routing_state


def make_view(snapshot: Snapshot) -> MeshView:
    """Returns the MeshView that all simulated nodes share, built from catalogue entries."""
    view = MeshView("rehearsal")
    view.table = RouteTable(snapshot.mesh_state.rows)
    for target in snapshot.mesh_state.targets:
        notice = messages_pb2.TargetNotice(
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
            cold_left_ms=int(_COLD_START_SECONDS * 1000) if target.cold_until else 0,
            site=target.site,
            site_agent=target.site_agent,
        )
        view.apply(
            messages_pb2.Entry(
                kind="target", key=target.node, life=1, number=1, value=notice.SerializeToString()
            )
        )
    view.evacuated = set(snapshot.mesh_state.evacuated)
    view.owners = dict(snapshot.owners)
    return view


def make_origins(
    snapshot: Snapshot,
    view: MeshView,
    clock: Callable[[], float],
    seed: int,
) -> dict[str, list[Origin]]:
    """Returns the nodes by zone; a zone without known nodes gets one.

    `clock` returns the simulated time in seconds.
    """
    view.proxies = max(1, len(snapshot.origins))
    bounds = _make_bounds(snapshot)
    origins: dict[str, list[Origin]] = {zone: [] for zone in snapshot.zone_regions}
    nodes = list(snapshot.origins.items())
    zones_with_nodes = {zone for _node, zone in nodes}
    nodes.extend((zone, zone) for zone in snapshot.zone_regions if zone not in zones_with_nodes)
    for number, (_node, zone) in enumerate(sorted(nodes)):
        selector = TargetSelector(view, zone, seed=seed + number)
        origins.setdefault(zone, []).append(
            Origin(zone, RoutingState(view, selector, bounds, _LIMITS, clock, _discard_event))
        )
    return origins


def _discard_event(*_event, **_fields) -> None:
    """Discards the log events of simulated nodes."""


def _make_bounds(snapshot: Snapshot) -> Bounds:
    retry_budget = snapshot.retry_budget
    unused = retry_budget.window * 0
    return Bounds(
        unused,
        unused,
        unused,
        unused,
        unused,
        unused,
        unused,
        retry_budget.ratio,
        retry_budget.window,
        retry_budget.slack,
        1.5,
        5.0,
        unused,
        unused,
    )
