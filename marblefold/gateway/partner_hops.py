"""The egress of partner routes: where a request leaves for the partner.

A permission may have been revoked since the request arrived.  It is checked again
after the connection is obtained, just before the first byte is sent.
"""

import time

from marblefold.gateway.target_hops import TargetHops
from marblefold.gateway.target_pool import TargetPool
from marblefold.http_connections.client_request import ForwardedRequest
from marblefold.partners.merging import partner_of
from marblefold.request_path.hop_sender import Hops
from marblefold.request_path.mesh_view import MeshView
from marblefold.request_path.outcome import HopResult
from marblefold.task_keeper import TaskKeeper

__all__ = ["PartnerHops", "add_partner_hops"]

# How many of a proxy's descriptors connections to partner gateways may use.
_DESCRIPTORS = 64


class PartnerHops:
    """Sends hops to partners through their own sender, and all others as usual."""

    def __init__(self, usual: Hops, to_partners: TargetHops, view: MeshView) -> None:
        self._usual = usual
        self._to_partners = to_partners
        self._view = view

    def has_guard(self, upstream: str) -> bool:
        """Whether a guard serves the upstream; a partner's gateway has none."""
        return not partner_of(upstream) and self._usual.has_guard(upstream)

    async def send(
        self,
        peer: str,
        head,
        request: ForwardedRequest,
        body_bound: int,
        seconds: float,
    ) -> HopResult:
        """The result of the hop, sent within `seconds`.

        Raises BodyTooLarge if the request has more than `body_bound` bytes.
        """
        partner = partner_of(head.upstream)
        if not partner:
            return await self._usual.send(peer, head, request, body_bound, seconds)
        # A partner does not know our instances.
        head.expected_instance = ""

        def find_obstacle() -> str:
            is_still_allowed = self.is_still_allowed(partner, peer, request, time.monotonic())
            return "" if is_still_allowed else "not allowed any more"

        return await self._to_partners.send(peer, head, request, body_bound, seconds, find_obstacle)

    def is_still_allowed(
        self,
        partner: str,
        peer: str,
        request: ForwardedRequest,
        now: float,
    ) -> bool:
        """Whether the partner's routes allow the request at `now` (monotonic seconds)."""
        route = self._view.find_partner_route(request.host, request.path, now)
        if route is None or partner_of(route.upstreams[0]) != partner:
            return False
        partners = self._view.partners
        return partners is not None and partners.addresses.get(partner) == peer


def add_partner_hops(usual: Hops, view: MeshView, tasks: TaskKeeper) -> PartnerHops:
    """Adds a sender for hops to partners to the usual one of a proxy."""
    pool = TargetPool(
        _DESCRIPTORS, lambda: set(view.partners.addresses.values()) if view.partners else set()
    )
    tasks.start(pool.run())
    return PartnerHops(usual, TargetHops(pool), view)
