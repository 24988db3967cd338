"""The registry's side of terms: answers nodes that ask."""

from typing import Callable

from marblefold.inner_protocol.messages import kinds
from marblefold.partners.duty import PartnerDuty
from marblefold.terms.held_terms import OwnedTerm

__all__ = ["TermGranter"]


class TermGranter:
    """Grants what is left of this registry's own knowledge."""

    def __init__(self, partners: PartnerDuty) -> None:
        # Where this registry is a site's agent, the site and what it may grant.
        self.site = ""
        self.owned: Callable[[], tuple[OwnedTerm, ...]] = tuple
        self._partners = partners
        # Which routes each node said it held, for people.
        self.digests: dict[str, str] = {}

    def grant(self, asking: kinds.RenewTerm) -> kinds.TermGrant:
        """The answer to one asking."""
        self.digests[asking.node] = asking.digest
        owned = self.owned() if asking.site and asking.site == self.site else ()
        return kinds.TermGrant(
            number=asking.number,
            partner_left_ms=int(self._partners.left() * 1000),
            partner_digest=self._partners.table.digest,
            owned=[
                kinds.OwnedService(
                    upstream=term.upstream, epoch=term.epoch, left_ms=int(term.seconds * 1000))
                for term in owned])
