"""The registry's side of leases: answers nodes that ask."""

from collections.abc import Callable

from marblefold.inner_protocol.messages import kinds
from marblefold.leases.held_leases import OwnedLease
from marblefold.partners.duty import PartnerDuty

__all__ = ["LeaseGranter"]


class LeaseGranter:
    """Grants what is left of this registry's own knowledge."""

    def __init__(self, partners: PartnerDuty) -> None:
        # Where this registry is a site's agent, the site and what it may grant.
        self.site = ""
        self.owned: Callable[[], tuple[OwnedLease, ...]] = tuple
        self._partners = partners
        # By node, the digest of the partner routes it holds, shown to operators.
        self.digests: dict[str, str] = {}

    def grant(self, request: kinds.RenewLease) -> kinds.LeaseGrant:
        """The answer to a node's call; what is left of each lease is in milliseconds."""
        self.digests[request.node] = request.digest
        owned = self.owned() if request.site and request.site == self.site else ()
        return kinds.LeaseGrant(
            number=request.number,
            partner_left_ms=int(self._partners.left() * 1000),
            partner_digest=self._partners.table.digest,
            owned=[
                kinds.OwnedService(
                    upstream=lease.upstream, epoch=lease.epoch, left_ms=int(lease.seconds * 1000)
                )
                for lease in owned
            ],
        )
