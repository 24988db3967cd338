"""This proxy's view of the mesh: targets, configuration and evacuations.

It is updated from the registries' feeds and never reverts to older data: of two
entries under one key it keeps the one with the higher generation (the field `life`) and number.
"""

import json
import time
from collections.abc import Callable
from typing import NamedTuple

from marblefold.configuration.route_table import RouteTable
from marblefold.configuration.rows import Route, decode_rows
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.leases.held_leases import HeldLeases
from marblefold.logs import log
from marblefold.partners.partner_table import (
    UPSTREAM_PREFIX,
    PartnerTable,
    build_partner_table,
    partner_of,
)

__all__ = ["KnownOwner", "KnownTarget", "MeshView"]


class KnownTarget(NamedTuple):
    """A target and the proxy beside it."""

    node: str
    peer: str
    zone: str
    region: str
    instance: str
    upstream: str
    slots: int
    is_draining: bool
    cold_until: float
    is_leaving: bool
    # The site of the target, and the registry of that site that claims ownership.
    site: str = ""
    site_agent: str = ""


class KnownOwner(NamedTuple):
    """The owner of a service, with its epoch."""

    site: str
    agent: str
    epoch: int


class MeshView:
    """The newest known entry of every key, indexed for the request path."""

    def __init__(self, node: str) -> None:
        self.table: RouteTable | None = None
        self.proxies = 0
        self.evacuated: set[str] = set()
        self.suspects: set[str] = set()
        self.registries: set[str] = set()
        # Called with each new entry about the target of this node.
        self.on_own_target_entry: Callable[[messages_pb2.Entry], None] | None = None
        self.on_evacuation: Callable[[str, bool], None] | None = None
        self.on_partners: Callable[[], None] | None = None
        self.on_configuration: Callable[[RouteTable], None] | None = None
        # Routes that partners export; None until there is a partner.
        self.partners: PartnerTable | None = None
        self.leases = HeldLeases()
        # The current owner of each service that is owned by one site, if any.
        self.owners: dict[str, KnownOwner] = {}
        self._node = node
        self._versions: dict[tuple[str, str], tuple[int, int]] = {}
        self._targets: dict[str, dict[str, KnownTarget]] = {}
        self._upstream_of: dict[str, str] = {}

    def targets(self, upstream: str) -> list[KnownTarget]:
        """Returns the targets of the upstream that are not known to be removed."""
        if self.partners is not None and upstream.startswith(UPSTREAM_PREFIX):
            return self._partner_targets(upstream)
        return list(self._targets.get(upstream, {}).values())

    def peers(self) -> set[str]:
        """Returns the addresses of the proxies beside the known targets."""
        return {target.peer for targets in self._targets.values() for target in targets.values()}

    def is_newer(self, entry) -> bool:
        """Whether the entry is newer than the one held under its key."""
        return (entry.life, entry.number) > self._versions.get((entry.kind, entry.key), (-1, -1))

    def apply(self, entry) -> bool:
        """Applies an entry; returns whether it was newer than the one held.

        Raises ValueError, KeyError, TypeError, zlib.error or DecodeError if its value is
        malformed; the entry is then not applied again either.
        """
        if not self.is_newer(entry):
            return False
        self._versions[entry.kind, entry.key] = (entry.life, entry.number)
        if entry.kind == "configuration":
            self._apply_configuration(entry)
        if entry.kind == "target":
            self._apply_target(entry)
        elif entry.kind == "evacuation":
            self._apply_evacuation(entry)
        elif entry.kind == "registries":
            self.registries = set(entry.value.decode().split("\n"))
        elif entry.kind == "partners":
            is_first = self.partners is None
            self.partners = build_partner_table(entry.number, entry.value)
            if is_first and self.on_partners is not None:
                self.on_partners()
            log.info("partner routes", number=entry.number, digest=self.partners.digest)
        elif entry.kind == "owner":
            self._apply_owner(entry)
        return True

    def find_partner_route(self, host: str, path: str, now: float) -> Route | None:
        """Returns the partner route of a request, while the lease on these routes is valid.

        `now` is in monotonic seconds.
        """
        if self.partners is None or not self.leases.may_use_partners(now):
            return None
        return self.partners.find(host, path)

    def _partner_targets(self, upstream: str) -> list[KnownTarget]:
        partners = self.partners
        address = partners.addresses.get(partner_of(upstream)) if partners is not None else None
        if address is None:
            return []
        return [KnownTarget(upstream, address, "", "", upstream, upstream, 64, False, 0.0, False)]

    def _apply_owner(self, entry) -> None:
        if entry.removed:
            self.owners.pop(entry.key, None)
            return
        site, agent, epoch, _renewals = json.loads(entry.value) if entry.value else ("", "", 0, 0)
        self.owners[entry.key] = KnownOwner(site, agent, epoch)
        log.info("owner", upstream=entry.key, site=site, epoch=epoch)

    def _apply_configuration(self, entry) -> None:
        # Assigned only when complete: a request sees the old or the new one.
        self.table = RouteTable(decode_rows(entry.value))
        log.info("configuration in force", number=entry.number, routes=self.table.route_count)
        if self.on_configuration is not None:
            self.on_configuration(self.table)

    def _apply_target(self, entry) -> None:
        node = entry.key
        if node == self._node and self.on_own_target_entry is not None:
            self.on_own_target_entry(entry)
        old_upstream = self._upstream_of.pop(node, None)
        if old_upstream is not None:
            self._targets[old_upstream].pop(node, None)
        if entry.removed:
            return
        notice = messages_pb2.TargetNotice.FromString(entry.value)
        if notice.state not in ("ready", "draining"):
            return
        self._upstream_of[node] = notice.upstream
        self._targets.setdefault(notice.upstream, {})[node] = KnownTarget(
            node=node,
            peer=notice.address,
            zone=notice.zone,
            region=notice.region,
            instance=notice.instance,
            upstream=notice.upstream,
            slots=max(1, notice.slots),
            is_draining=notice.state == "draining",
            cold_until=time.monotonic() + notice.cold_left_ms / 1000.0,
            is_leaving=notice.leaving,
            site=notice.site,
            site_agent=notice.site_agent,
        )

    def _apply_evacuation(self, entry) -> None:
        # A zone may be evacuated by an operator or a maintenance window.
        is_on = entry.value != b"off"
        _set_member(self.evacuated, entry.key, is_on)
        if self.on_evacuation is not None:
            self.on_evacuation(entry.key, is_on)


def _set_member(members: set[str], member: str, is_member: bool) -> None:
    if is_member:
        members.add(member)
    else:
        members.discard(member)
