"""The limits of the operator's configuration for the targets of an upstream."""

import math
from typing import NamedTuple

from marblefold.node_config.model import Bounds
from marblefold.request_path.local_target import LocalTarget
from marblefold.request_path.mesh_view import MeshView

__all__ = [
    "ColdLimits",
    "cold_rate_bound",
    "cold_rate_limit",
    "find_cold_limits",
    "find_slot_limit",
]

_MARGIN = 2
_UNKNOWN_MOST = 1.0


class ColdLimits(NamedTuple):
    """What a target bears while it is cold.

    `per_second` is a number of requests, 0 if there is no limit; `seconds` is how long a
    target stays cold after it became so.
    """

    per_second: float
    seconds: float


def find_slot_limit(view: MeshView, target: LocalTarget) -> int:
    """How many requests at once: each takes a slot and a connection to the target."""
    known = view.table.upstreams.get(target.upstream) if view.table is not None else None
    return target.slots if known is None else max(1, min(target.slots, known.max_connections))


def find_cold_limits(view: MeshView, upstream: str, head=None) -> ColdLimits | None:
    """What a cold target of the upstream bears, or None if nobody knows.

    The sender of a hop tells it in the `head`, for a node that has no configuration yet.
    Of two that differ the more cautious one holds.
    """
    found = []
    known = view.table.upstreams.get(upstream) if view.table is not None else None
    if known is not None:
        found.append(ColdLimits(known.coldstart_per_s, known.cold_start.total_seconds()))
    if head is not None and head.HasField("coldstart_per_s"):
        found.append(ColdLimits(head.coldstart_per_s, head.cold_start_s))
    if not found:
        return None
    limited = [limits for limits in found if limits.per_second > 0]
    return min(limited) if limited else found[0]


def cold_rate_bound(limits: ColdLimits | None, bounds: Bounds) -> float:
    """How many requests a second of a cold target may hold; inf if it is unknown or unlimited."""
    if limits is None or limits.per_second <= 0:
        return math.inf
    return limits.per_second * bounds.cold_overage + bounds.cold_slack


def cold_rate_limit(limits: ColdLimits | None, bounds: Bounds) -> float:
    """How many requests the guard lets a cold target have in a second.

    Without known limits that is one: what is not known permits nothing.
    """
    if limits is None:
        return _UNKNOWN_MOST
    # Below the bound: the target's second may not begin with ours.
    return max(1.0, cold_rate_bound(limits, bounds) - _MARGIN)
