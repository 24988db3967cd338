"""The limits of the operator's configuration for the targets of an upstream."""

import math
from datetime import timedelta

from marblefold.node_config.model import Bounds
from marblefold.request_path.local_target import LocalTarget
from marblefold.request_path.mesh_view import MeshView

__all__ = ["find_cold_bound", "find_cold_most", "find_cold_start", "find_slots"]


def find_slots(view: MeshView, target: LocalTarget) -> int:
    """How many requests at once: each takes a slot and a connection to the target."""
    known = view.table.upstreams.get(target.upstream) if view.table is not None else None
    return target.slots if known is None else max(1, min(target.slots, known.max_connections))


def find_cold_bound(view: MeshView, bounds: Bounds, upstream: str) -> float:
    """How many requests a second of a cold target may hold, by the rules; inf if unknown."""
    known = view.table.upstreams.get(upstream) if view.table is not None else None
    if known is None or known.coldstart_per_s <= 0:
        return math.inf
    return known.coldstart_per_s * bounds.cold_overage + bounds.cold_slack


def find_cold_start(view: MeshView, upstream: str) -> timedelta:
    """How long a target stays cold after it became so; zero if unknown."""
    known = view.table.upstreams.get(upstream) if view.table is not None else None
    return known.cold_start if known is not None else timedelta(0)


def find_cold_most(view: MeshView, bounds: Bounds, upstream: str) -> float:
    """How many requests a cold target may be offered in a second."""
    known = view.table.upstreams.get(upstream) if view.table is not None else None
    if known is None or known.coldstart_per_s <= 0:
        return 1e9
    # Below the limit: the target's second may not begin with ours.
    return max(1.0, known.coldstart_per_s * bounds.cold_overage + bounds.cold_slack - 2)
