"""The egress of partner routes: sends hops to the gateways of partners.

The permission may have been revoked since the request arrived.  It is checked again
once a connection has been acquired, just before the first byte is sent.
"""

import time

from marblefold.background_tasks import BackgroundTasks
from marblefold.gateway.target_hops import TargetHops
from marblefold.gateway.target_pool import TargetPool
from marblefold.http_connections.client_request import ForwardedRequest
from marblefold.partners.partner_table import partner_of
from marblefold.request_path.hop_sender import HopTransport
from marblefold.request_path.mesh_view import MeshView
from marblefold.request_path.outcome import HopResult

__all__ = ["PartnerHops", "add_partner_hops"]

# How many of a proxy's file descriptors may be used for connections to partner gateways.
_MAX_PARTNER_DESCRIPTORS = 64


class PartnerHops:
    """Sends hops to partners through their own sender, all others through the default one."""

    def __init__(
        self, default_hops: HopTransport, partner_hops: TargetHops, view: MeshView
    ) -> None:
        self._default_hops = default_hops
        self._partner_hops = partner_hops
        self._view = view

    def has_guard(self, upstream: str) -> bool:
        """Whether a guard protects the upstream; the gateway of a partner has none."""
        return not partner_of(upstream) and self._default_hops.has_guard(upstream)

    async def send(
        self,
        peer: str,
        head,
        request: ForwardedRequest,
        max_body_bytes: int,
        seconds: float,
    ) -> HopResult:
        """Sends the hop and returns its result within `seconds`.

        Raises BodyTooLarge if the body exceeds `max_body_bytes` bytes.
        """
        partner = partner_of(head.upstream)
        if not partner:
            return await self._default_hops.send(peer, head, request, max_body_bytes, seconds)
        # Partners do not know the instances of this mesh.
        head.expected_instance = ""

        def find_obstacle() -> str:
            is_allowed = self.is_still_allowed(partner, peer, request, time.monotonic())
            return "" if is_allowed else "not allowed any more"

        return await self._partner_hops.send(
            peer, head, request, max_body_bytes, seconds, find_obstacle
        )

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


def add_partner_hops(
    default_hops: HopTransport, view: MeshView, tasks: BackgroundTasks
) -> PartnerHops:
    """Adds a sender for hops to partners to the default sender of a proxy."""
    pool = TargetPool(
        _MAX_PARTNER_DESCRIPTORS,
        lambda: set(view.partners.addresses.values()) if view.partners else set(),
    )
    tasks.start(pool.run())
    return PartnerHops(default_hops, TargetHops(pool), view)
