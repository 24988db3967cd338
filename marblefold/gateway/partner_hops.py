"""The far end of a partner route: where a request leaves for the partner.

What was allowed when the request came in may not be any more.  The check is
made again with the connection in hand, just before the first byte goes out.
"""

import time

from marblefold.gateway.target_hops import TargetHops
from marblefold.gateway.target_pool import TargetPool
from marblefold.http_connections.client_request import SentRequest
from marblefold.partners.merging import partner_of
from marblefold.request_path.hop_sender import Hops
from marblefold.request_path.mesh_view import MeshView
from marblefold.request_path.outcome import HopResult
from marblefold.task_keeper import TaskKeeper

__all__ = ["PartnerHops", "open_partner_way"]

# What connections to partners' doors may take of a proxy's descriptors.
_DESCRIPTORS = 64


class PartnerHops:
    """Sends hops to partners by one way, and all others by the usual one."""

    def __init__(self, usual: Hops, to_partners: TargetHops, view: MeshView) -> None:
        self._usual = usual
        self._to_partners = to_partners
        self._view = view

    def has_guard(self, upstream: str) -> bool:
        """Beside a partner's door there is none."""
        return not partner_of(upstream) and self._usual.has_guard(upstream)

    async def send(
        self,
        peer: str,
        head,
        request: SentRequest,
        body_bound: int,
        seconds: float,
    ) -> HopResult:
        """The hop's end; it raises only BodyTooLarge and a lost client."""
        partner = partner_of(head.upstream)
        if not partner:
            return await self._usual.send(peer, head, request, body_bound, seconds)
        # A partner knows nothing of our instances.
        head.expected_instance = ""

        def may_send() -> bool:
            return self.may_leave(partner, peer, request, time.monotonic())

        return await self._to_partners.send(peer, head, request, body_bound, seconds, may_send)

    def may_leave(
        self,
        partner: str,
        peer: str,
        request: SentRequest,
        now: float,
    ) -> bool:
        """Whether the partner's word allows the request at this moment."""
        route = self._view.find_partner_route(request.host, request.path, now)
        if route is None or partner_of(route.upstreams[0]) != partner:
            return False
        partners = self._view.partners
        return partners is not None and partners.addresses.get(partner) == peer


def open_partner_way(usual: Hops, view: MeshView, tasks: TaskKeeper) -> PartnerHops:
    """A way of their own for hops to partners, beside the usual one of a proxy."""
    pool = TargetPool(
        _DESCRIPTORS, lambda: set(view.partners.addresses.values()) if view.partners else set()
    )
    tasks.start(pool.run())
    return PartnerHops(usual, TargetHops(pool), view)
