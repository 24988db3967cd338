"""Assembles the registry's tasks for partner sites and service owners.

They stay idle while the stores hold no partners and no owners.
"""

import os
from collections.abc import Callable, Coroutine
from typing import Any

from marblefold.http_connections.call_router import CallRouter
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.leases.granting import LeaseGranter
from marblefold.logs import log
from marblefold.node_config.reading import NodeConfig
from marblefold.ownership.agent import OWNER_PREFIX, OWNERS_REGISTER, SiteAgent
from marblefold.ownership.background_records import BackgroundRecords
from marblefold.ownership.calls import KnownClaims, OwnerCalls
from marblefold.ownership.claims import Owner, find_clashes, read_owners
from marblefold.partners.calls import PartnerCalls
from marblefold.partners.coordinator import PARTNERS_REGISTER, PartnerCoordinator
from marblefold.partners.document import PartnersDocument
from marblefold.register_store.register_client import RegisterClient
from marblefold.register_store.register_files import RegisterFiles
from marblefold.registry.catalogue import Catalogue

__all__ = ["PARTNERS_REGISTER", "SiteCoordinator"]


class SiteCoordinator:
    """Runs the partner and owner tasks of this registry and applies their records."""

    def __init__(
        self,
        config: NodeConfig,
        own_address: str,
        catalogue: Catalogue,
        store_client: RegisterClient,
        is_leader: Callable[[], bool],
    ) -> None:
        self._catalogue = catalogue
        self._owned_services: dict[str, tuple[str, ...]] = {}
        self._owners_number = 0
        self._clashes: dict[str, list[str]] = {}
        self.partners = PartnerCoordinator(store_client, is_leader)
        self.granter = LeaseGranter(self.partners)
        self.agent: SiteAgent | None = None
        self._calls = (
            PartnerCalls(store_client, self.partners, lambda: self.granter.digests),
            OwnerCalls(store_client, self._collect_claims),
        )
        if config.site:
            self.agent = SiteAgent(
                config.site,
                own_address,
                store_client,
                # A directory of its own, because the store deletes files in its parent.
                BackgroundRecords(
                    lambda: RegisterFiles(os.path.join(config.data_directory, "ownership"))
                ),
                lambda: self._collect_claims().claimants,
            )
            self.granter.site = config.site
            self.granter.owned = self.agent.owned_leases

    def add_to(self, router: CallRouter) -> None:
        """Registers the administration calls with the router."""
        for calls in self._calls:
            calls.add_to(router)

    def background_tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Returns the coroutines that run for the lifetime of the registry."""
        tasks = [self.partners.run()]
        if self.agent is not None:
            tasks.append(self.agent.run())
        return tasks

    def apply_record(self, register: str, number: int, value: bytes) -> None:
        """Applies a record that a majority holds and publishes it in the feed."""
        if register == PARTNERS_REGISTER:
            self.partners.apply_document(number, value)
            self._catalogue.put(
                messages_pb2.Entry(
                    kind="partners",
                    key="partners",
                    number=number,
                    value=_remove_credentials(value),
                )
            )
        elif register == OWNERS_REGISTER and number > self._owners_number:
            self._owners_number = number
            self._apply_owners_record(value)
        elif register.startswith(OWNER_PREFIX):
            self._apply_owner(register[len(OWNER_PREFIX) :], number, value)

    def report_claim_conflicts(self) -> None:
        """Logs which services several sites claim, whenever that changes."""
        if not self._owned_services:
            return
        claimed = self._collect_claims()
        clashes = find_clashes(claimed.claimants, claimed.owners)
        if clashes != self._clashes:
            self._clashes = clashes
            log.warning(
                "sites claim the same service" if clashes else "no conflicting claims of sites",
                clashes=clashes,
            )

    def _apply_owners_record(self, value: bytes) -> None:
        previous, self._owned_services = self._owned_services, read_owners(value)
        if self.agent is not None:
            self.agent.apply_owners_record(value)
        for upstream in self._owned_services:
            # The service is owned from now on; nobody serves it until it has an owner.
            self._catalogue.put(messages_pb2.Entry(kind="owner", key=upstream, number=1))
        for upstream in set(previous) - set(self._owned_services):
            current = self._catalogue.find("owner", upstream)
            self._catalogue.put(
                messages_pb2.Entry(
                    kind="owner",
                    key=upstream,
                    life=current.life if current else 0,
                    number=(current.number if current else 0) + 1,
                    removed=True,
                )
            )
        self.report_claim_conflicts()

    def _apply_owner(self, upstream: str, number: int, value: bytes) -> None:
        owner = Owner.read(value)
        current = self._catalogue.find("owner", upstream)
        # A renewal keeps the epoch, so nothing changes for routing.
        if current is not None and current.value and Owner.read(current.value).epoch == owner.epoch:
            return
        self._catalogue.put(
            messages_pb2.Entry(
                kind="owner", key=upstream, life=owner.epoch, number=number, value=value
            )
        )
        self.report_claim_conflicts()

    def _collect_claims(self) -> KnownClaims:
        claimants: dict[str, set[tuple[str, str]]] = {}
        for entry in self._catalogue.entries("target"):
            notice = messages_pb2.TargetNotice.FromString(entry.value)
            if notice.site and notice.upstream in self._owned_services:
                claimants.setdefault(notice.upstream, set()).add((notice.site, notice.site_agent))
        owners = {
            entry.key: Owner.read(entry.value)
            for entry in self._catalogue.entries("owner")
            if entry.value
        }
        return KnownClaims(claimants, owners)


def _remove_credentials(value: bytes) -> bytes:
    """Removes the partners' credentials, which nodes do not need."""
    return PartnersDocument(
        {
            name: {key: field for key, field in partner.items() if key != "credential"}
            for name, partner in PartnersDocument.read(value).partners.items()
        }
    ).pack()
