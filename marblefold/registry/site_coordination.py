"""What this registry does about partners and owners, put together.

Without partners and without owners in the stores nothing of it tasks.
"""

import os
from collections.abc import Callable, Coroutine
from typing import Any

from marblefold.http_connections.call_router import CallRouter
from marblefold.inner_protocol.messages import kinds
from marblefold.leases.granting import LeaseGranter
from marblefold.logs import log
from marblefold.node_config.reading import NodeConfig
from marblefold.ownership.agent import OWNER_PREFIX, OWNERS_REGISTER, SiteAgent
from marblefold.ownership.background_records import BackgroundRecords
from marblefold.ownership.calls import Claimed, OwnerCalls
from marblefold.ownership.claims import Owner, find_clashes, read_owners
from marblefold.partners.calls import PartnerCalls
from marblefold.partners.document import Document
from marblefold.partners.duty import REGISTER as PARTNERS_REGISTER
from marblefold.partners.duty import PartnerDuty
from marblefold.register_store.register_client import RegisterClient
from marblefold.register_store.register_files import RegisterFiles
from marblefold.registry.catalogue import Catalogue

__all__ = ["PARTNERS_REGISTER", "SiteCoordinator"]


class SiteCoordinator:
    """Owns the leader_selection of partners and owners at this registry."""

    def __init__(
        self,
        config: NodeConfig,
        own: str,
        catalogue: Catalogue,
        store_client: RegisterClient,
        is_leader: Callable[[], bool],
    ) -> None:
        self._catalogue = catalogue
        self._listed: dict[str, tuple[str, ...]] = {}
        self._owners_number = 0
        self._clashes: dict[str, list[str]] = {}
        self.partners = PartnerDuty(store_client, is_leader)
        self.granter = LeaseGranter(self.partners)
        self.agent: SiteAgent | None = None
        self._calls = (
            PartnerCalls(store_client, self.partners, lambda: self.granter.digests),
            OwnerCalls(store_client, self._find_claimed),
        )
        if config.site:
            self.agent = SiteAgent(
                config.site,
                own,
                store_client,
                # A folder of its own: the store cleans up in the one above.
                BackgroundRecords(
                    lambda: RegisterFiles(os.path.join(config.data_directory, "ownership"))
                ),
                lambda: self._find_claimed().claimants,
            )
            self.granter.site = config.site
            self.granter.owned = self.agent.grants

    def add_to(self, router: CallRouter) -> None:
        """Serves the administration calls."""
        for calls in self._calls:
            calls.add_to(router)

    def background_tasks(self) -> list[Coroutine[Any, Any, None]]:
        """The coroutines that run as long as the registry does."""
        tasks = [self.partners.run()]
        if self.agent is not None:
            tasks.append(self.agent.run())
        return tasks

    def apply_record(self, register: str, number: int, value: bytes) -> None:
        """Takes in a record that a majority holds; those of sites go into the feed."""
        if register == PARTNERS_REGISTER:
            self.partners.take(number, value)
            self._catalogue.put(
                kinds.Entry(
                    kind="partners",
                    key="partners",
                    number=number,
                    value=_without_credentials(value),
                )
            )
        elif register == OWNERS_REGISTER and number > self._owners_number:
            self._owners_number = number
            self._apply_owners_record(value)
        elif register.startswith(OWNER_PREFIX):
            self._apply_owner(register[len(OWNER_PREFIX) :], number, value)

    def report_claim_conflicts(self) -> None:
        """Targets changed: says once where the claims of sites clash."""
        if not self._listed:
            return
        claimed = self._find_claimed()
        clashes = find_clashes(claimed.claimants, claimed.owners)
        if clashes != self._clashes:
            self._clashes = clashes
            log.warning("sites clash" if clashes else "no clash of sites", clashes=clashes)

    def _apply_owners_record(self, value: bytes) -> None:
        before, self._listed = self._listed, read_owners(value)
        if self.agent is not None:
            self.agent.take_record(value)
        for upstream in self._listed:
            # Owned from here on: until somebody is its owner nobody serves it.
            self._catalogue.put(kinds.Entry(kind="owner", key=upstream, number=1))
        for upstream in set(before) - set(self._listed):
            held = self._catalogue.find("owner", upstream)
            self._catalogue.put(
                kinds.Entry(
                    kind="owner",
                    key=upstream,
                    life=held.life if held else 0,
                    number=(held.number if held else 0) + 1,
                    removed=True,
                )
            )
        self.report_claim_conflicts()

    def _apply_owner(self, upstream: str, number: int, value: bytes) -> None:
        owner = Owner.read(value)
        held = self._catalogue.find("owner", upstream)
        # Renewals change nothing for those that only route by the epoch.
        if held is not None and held.value and Owner.read(held.value).epoch == owner.epoch:
            return
        self._catalogue.put(
            kinds.Entry(kind="owner", key=upstream, life=owner.epoch, number=number, value=value)
        )
        self.report_claim_conflicts()

    def _find_claimed(self) -> Claimed:
        claimants: dict[str, set[tuple[str, str]]] = {}
        for entry in self._catalogue.entries("target"):
            notice = kinds.TargetNotice.FromString(entry.value)
            if notice.site and notice.upstream in self._listed:
                claimants.setdefault(notice.upstream, set()).add((notice.site, notice.site_agent))
        owners = {
            entry.key: Owner.read(entry.value)
            for entry in self._catalogue.entries("owner")
            if entry.value
        }
        return Claimed(claimants, owners)


def _without_credentials(value: bytes) -> bytes:
    """Nodes need no credentials, so they get none."""
    return Document(
        {
            name: {key: field for key, field in partner.items() if key != "credential"}
            for name, partner in Document.read(value).partners.items()
        }
    ).pack()
