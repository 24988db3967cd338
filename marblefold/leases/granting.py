"""The registry's side of leases: answers the renewal requests of nodes."""

from collections.abc import Callable

from marblefold.inner_protocol.messages import messages_pb2
from marblefold.leases.held_leases import OwnedLease
from marblefold.partners.coordinator import PartnerCoordinator

__all__ = ["LeaseGranter"]


class LeaseGranter:
    """Grants leases that end no later than the registry's own knowledge is valid."""

    def __init__(self, partners: PartnerCoordinator) -> None:
        # If this registry is the agent of a site: the site, and the leases it may grant.
        self.site = ""
        self.owned: Callable[[], tuple[OwnedLease, ...]] = tuple
        self._partners = partners
        # The digest of the partner routes that each node holds, by node; shown to operators.
        self.digests: dict[str, str] = {}

    def grant(self, request: messages_pb2.RenewLease) -> messages_pb2.LeaseGrant:
        """Answers a renewal request; the remaining time of each lease is in milliseconds."""
        self.digests[request.node] = request.digest
        owned = self.owned() if request.site and request.site == self.site else ()
        return messages_pb2.LeaseGrant(
            number=request.number,
            partner_left_ms=int(self._partners.remaining_seconds() * 1000),
            partner_digest=self._partners.table.digest,
            owned=[
                messages_pb2.OwnedService(
                    upstream=lease.upstream, epoch=lease.epoch, left_ms=int(lease.seconds * 1000)
                )
                for lease in owned
            ],
        )
