"""What the way to a target adds to the cost by which targets are compared."""

from marblefold.request_path.mesh_view import KnownTarget

__all__ = ["DistanceCost"]

# Traffic between zones has a price: what each kilobyte of a hop adds to the compared
# latency, as a multiple of the latency target, and the maximum that is added.
_ZONE_COST_PER_KILOBYTE = 0.06
_MAX_ZONE_COST = 1.0
# What each second in which the hop occupies the link of another machine adds, as a
# multiple of the latency target, and the maximum that is added.
_LINK_COST_PER_SECOND = 1.0
_MAX_LINK_COST = 1.0
# From this cost of the link on, a target on this machine is always considered.
_CONSIDERED_LINK_COST = 0.05


class DistanceCost:
    """The cost of the way from one process to targets elsewhere.

    A target on the same machine is the nearest: the bytes of a hop to it use no link.
    """

    def __init__(self, zone: str, node: str = "", link_bytes_per_second: float = 1e9) -> None:
        """`node` is the machine of this process if a target may be beside it, or ""."""
        self._zone = zone
        self._node = node
        self._link_kilobytes_per_second = max(1.0, link_bytes_per_second) / 1024

    def cost(self, target: KnownTarget, kilobytes: float) -> float:
        """The cost for a hop of that size, as a multiple of the latency target."""
        cost = 0.0 if target.node == self._node else self._link_cost(kilobytes)
        if target.zone != self._zone:
            cost += min(_MAX_ZONE_COST, kilobytes * _ZONE_COST_PER_KILOBYTE)
        return cost

    def find_local(self, targets: list[KnownTarget], kilobytes: float) -> KnownTarget | None:
        """The target on this machine, if the hop is large enough for that to matter."""
        if not self._node or self._link_cost(kilobytes) < _CONSIDERED_LINK_COST:
            return None
        return next((target for target in targets if target.node == self._node), None)

    def _link_cost(self, kilobytes: float) -> float:
        seconds = kilobytes / self._link_kilobytes_per_second
        return min(_MAX_LINK_COST, seconds * _LINK_COST_PER_SECOND)
