"""The limits that the configuration sets for the targets of an upstream."""

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

_COLD_MARGIN_REQUESTS = 2
_UNKNOWN_RATE_LIMIT = 1.0


class ColdLimits(NamedTuple):
    """The limits of a cold target.

    `per_second` is a number of requests, 0 if there is no limit; `seconds` is how long a
    target stays cold after it went cold.
    """

    per_second: float
    seconds: float


def find_slot_limit(view: MeshView, target: LocalTarget) -> int:
    """The limit of concurrent requests: each takes a slot and a connection to the target."""
    known = view.table.upstreams.get(target.upstream) if view.table is not None else None
    return target.slots if known is None else max(1, min(target.slots, known.max_connections))


def find_cold_limits(view: MeshView, upstream: str, head=None) -> ColdLimits | None:
    """The limits of a cold target of the upstream, or None if they are unknown.

    The sender of a hop includes them in the `head` for a node without a configuration.
    If that and the local configuration differ, the lower limit applies.
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
    """The most requests allowed in a second of a cold target; inf if unknown or unlimited."""
    if limits is None or limits.per_second <= 0:
        return math.inf
    return limits.per_second * bounds.cold_overage + bounds.cold_slack


def cold_rate_limit(limits: ColdLimits | None, bounds: Bounds) -> float:
    """The number of requests per second that the guard allows for a cold target.

    One, the strictest limit, if the limits are unknown.
    """
    if limits is None:
        return _UNKNOWN_RATE_LIMIT
    # The margin allows for the target's seconds beginning at other times than the guard's.
    return max(1.0, cold_rate_bound(limits, bounds) - _COLD_MARGIN_REQUESTS)
