"""The leases that a node holds: how long it may go on with what it knows.

Allow late, forbid early.  A lease is requested, and counted on the node's own
steady clock from the moment it was requested; whoever grants it counts from a moment
no earlier.  So it ends at the node before anybody relies on its end.
"""

from typing import NamedTuple

__all__ = ["CLOCK_DRIFT_MARGIN", "Grant", "HeldLeases", "OwnedLease", "LEASE_SECONDS"]

LEASE_SECONDS = 3.0
# Two steady clocks may run so far apart: whoever waits for a lease's end waits
# this part longer.
CLOCK_DRIFT_MARGIN = 0.05
_MAX_PENDING_REQUESTS = 16


class OwnedLease(NamedTuple):
    """A service that our site owns, under an epoch, for so many seconds from the asking on."""

    upstream: str
    epoch: int
    seconds: float


class Grant(NamedTuple):
    """What a registry grants, as an answer to the asking of that number."""

    request_number: int
    partner_seconds: float
    partner_digest: str
    owned: tuple[OwnedLease, ...]


class HeldLeases:
    """The leases of one node, on its steady clock in seconds.

    Asked on the request path, so it only compares numbers.
    """

    def __init__(self) -> None:
        self._requested_at: dict[int, float] = {}
        self._last_request_number = 0
        self._partner_until = -1e9
        self._owned: dict[str, tuple[int, float]] = {}

    def begin_request(self, now: float) -> int:
        """The number of an asking that leaves now."""
        self._last_request_number += 1
        self._requested_at[self._last_request_number] = now
        self._requested_at.pop(self._last_request_number - _MAX_PENDING_REQUESTS, None)
        return self._last_request_number

    def apply_grant(self, grant: Grant, own_digest: str) -> None:
        """Takes in a grant; one for an asking that nobody remembers is too late."""
        requested_at = self._requested_at.get(grant.request_number)
        if requested_at is None:
            return
        # A lease for other routes than ours says nothing of ours.
        if grant.partner_digest == own_digest:
            self._partner_until = max(self._partner_until, requested_at + grant.partner_seconds)
        for owned in grant.owned:
            epoch, until = self._owned.get(owned.upstream, (0, -1e9))
            renewed_until = requested_at + owned.seconds
            if owned.epoch > epoch:
                self._owned[owned.upstream] = (owned.epoch, renewed_until)
            elif owned.epoch == epoch:
                self._owned[owned.upstream] = (epoch, max(until, renewed_until))

    def may_use_partners(self, now: float) -> bool:
        """Whether the lease on the partner routes lasts at that time."""
        return now < self._partner_until

    def epoch(self, upstream: str, now: float) -> int:
        """The epoch under which this node serves the service; 0 if it must not."""
        epoch, until = self._owned.get(upstream, (0, -1e9))
        return epoch if now < until else 0
