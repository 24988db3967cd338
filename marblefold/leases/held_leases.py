"""The leases that a node holds: how long it may go on with what it knows.

Allow late, forbid early.  A lease is asked for, and counted on the node's own
steady clock from the moment it asked; whoever grants it counts from a moment
no earlier.  So it ends at the node before anybody relies on its end.
"""

from typing import NamedTuple

__all__ = ["DRIFT_MARGIN", "Grant", "HeldLeases", "OwnedLease", "LEASE_SECONDS"]

LEASE_SECONDS = 3.0
# Two steady clocks may run so far apart: whoever waits for a lease's end waits
# this part longer.
DRIFT_MARGIN = 0.05
_KEPT_ASKINGS = 16


class OwnedLease(NamedTuple):
    """A service that our site owns, under an epoch, for so many seconds from the asking on."""

    upstream: str
    epoch: int
    seconds: float


class Grant(NamedTuple):
    """What a registry grants, as an answer to the asking of that number."""

    asking: int
    partner_seconds: float
    partner_digest: str
    owned: tuple[OwnedLease, ...]


class HeldLeases:
    """The leases of one node, on its steady clock in seconds.

    Asked on the request path, so it only compares numbers.
    """

    def __init__(self) -> None:
        self._asked: dict[int, float] = {}
        self._last = 0
        self._partner_until = -1e9
        self._owned: dict[str, tuple[int, float]] = {}

    def ask(self, now: float) -> int:
        """The number of an asking that leaves now."""
        self._last += 1
        self._asked[self._last] = now
        self._asked.pop(self._last - _KEPT_ASKINGS, None)
        return self._last

    def take(self, grant: Grant, own_digest: str) -> None:
        """Takes in a grant; one for an asking that nobody remembers is too late."""
        asked = self._asked.get(grant.asking)
        if asked is None:
            return
        # A lease for other routes than ours says nothing of ours.
        if grant.partner_digest == own_digest:
            self._partner_until = max(self._partner_until, asked + grant.partner_seconds)
        for owned in grant.owned:
            epoch, until = self._owned.get(owned.upstream, (0, -1e9))
            fresh = asked + owned.seconds
            if owned.epoch > epoch:
                self._owned[owned.upstream] = (owned.epoch, fresh)
            elif owned.epoch == epoch:
                self._owned[owned.upstream] = (epoch, max(until, fresh))

    def may_use_partners(self, now: float) -> bool:
        """Whether the lease on the partner routes lasts at that time."""
        return now < self._partner_until

    def epoch(self, upstream: str, now: float) -> int:
        """The epoch under which this node serves the service; 0 if it must not."""
        epoch, until = self._owned.get(upstream, (0, -1e9))
        return epoch if now < until else 0
