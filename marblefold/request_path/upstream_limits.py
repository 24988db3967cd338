"""The limits of the operator's configuration for the targets of an upstream."""

from marblefold.node_config.model import Bounds
from marblefold.request_path.local_target import LocalTarget
from marblefold.request_path.mesh_view import MeshView

__all__ = ["find_cold_most", "find_slots"]


def find_slots(view: MeshView, target: LocalTarget) -> int:
    """How many requests at once: each takes a slot and a connection to the target."""
    known = view.table.upstreams.get(target.upstream) if view.table is not None else None
    return target.slots if known is None else max(1, min(target.slots, known.max_connections))


def find_cold_most(view: MeshView, bounds: Bounds, upstream: str) -> float:
    """How many requests a cold target may be offered in a second."""
    known = view.table.upstreams.get(upstream) if view.table is not None else None
    if known is None or known.coldstart_per_s <= 0:
        return 1e9
    # Below the limit: the target's second may not begin with ours.
    return max(1.0, known.coldstart_per_s * bounds.cold_overage + bounds.cold_slack - 2)
