"""The leases that a node holds: how long it may act on what it knows.

A node counts a lease on its own monotonic clock from the moment of its request; the
grantor counts it from a moment that is no earlier.  So the lease expires at the node
before anybody relies on its expiry: permission starts late and ends early.
"""

from typing import NamedTuple

__all__ = ["CLOCK_DRIFT_MARGIN", "Grant", "HeldLeases", "OwnedLease", "LEASE_SECONDS"]

LEASE_SECONDS = 3.0
# The fraction by which two monotonic clocks may drift apart: whoever waits for the end
# of a lease waits longer by this fraction.
CLOCK_DRIFT_MARGIN = 0.05
_MAX_RETAINED_REQUESTS = 16


class OwnedLease(NamedTuple):
    """A service that this site owns under an epoch, for `seconds` from the request on."""

    upstream: str
    epoch: int
    seconds: float


class Grant(NamedTuple):
    """The leases that a registry grants in answer to the request of that number."""

    request_number: int
    partner_seconds: float
    partner_digest: str
    owned: tuple[OwnedLease, ...]


class HeldLeases:
    """The leases of one node; all times are seconds of its monotonic clock.

    It is used on the request path, so its checks only compare numbers.
    """

    def __init__(self) -> None:
        self._requested_at: dict[int, float] = {}
        self._last_request_number = 0
        self._partner_until = -1e9
        self._owned: dict[str, tuple[int, float]] = {}

    def begin_request(self, now: float) -> int:
        """Records a request that is sent now and returns its number."""
        self._last_request_number += 1
        self._requested_at[self._last_request_number] = now
        self._requested_at.pop(self._last_request_number - _MAX_RETAINED_REQUESTS, None)
        return self._last_request_number

    def apply_grant(self, grant: Grant, own_digest: str) -> None:
        """Applies a grant; ignores one whose request is too old to be retained."""
        requested_at = self._requested_at.get(grant.request_number)
        if requested_at is None:
            return
        # A lease on other partner routes than this node holds does not apply.
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
        """Whether the lease on the partner routes is valid at that time."""
        return now < self._partner_until

    def epoch(self, upstream: str, now: float) -> int:
        """Returns the epoch under which this node may serve the service; 0 if it must not."""
        epoch, until = self._owned.get(upstream, (0, -1e9))
        return epoch if now < until else 0
