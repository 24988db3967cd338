"""Requests the leases that this node needs and applies the grants."""

from marblefold.inner_protocol.messages import messages_pb2
from marblefold.leases.held_leases import Grant, OwnedLease
from marblefold.request_path.mesh_view import MeshView

__all__ = ["LeaseClient"]

_REQUEST_INTERVAL_SECONDS = 0.7


class LeaseClient:
    """Builds lease requests and applies the grants; times are monotonic seconds."""

    def __init__(self, node: str, view: MeshView, site: str = "", agent: str = "") -> None:
        self._node = node
        self._view = view
        self._site = site
        self._agent = agent
        self._next_request_at = 0.0

    def is_due(self, now: float) -> bool:
        """Whether a request is due; never without partners or owned services."""
        needs_lease = self._view.partners is not None or (self._site and self._view.owners)
        if not needs_lease or now < self._next_request_at:
            return False
        self._next_request_at = now + _REQUEST_INTERVAL_SECONDS
        return True

    def make_request(self, peer: str, now: float) -> messages_pb2.RenewLease:
        """Returns the request to send to the registry."""
        partners = self._view.partners
        return messages_pb2.RenewLease(
            node=self._node,
            number=self._view.leases.begin_request(now),
            digest=partners.digest if partners is not None else "",
            # Only the agent of a site may grant leases for that site.
            site=self._site if peer == self._agent else "",
        )

    def apply_grant(self, message: messages_pb2.LeaseGrant) -> None:
        """Applies the leases that a registry granted."""
        partners = self._view.partners
        self._view.leases.apply_grant(
            Grant(
                message.number,
                message.partner_left_ms / 1000.0,
                message.partner_digest,
                tuple(
                    OwnedLease(owned.upstream, owned.epoch, owned.left_ms / 1000.0)
                    for owned in message.owned
                ),
            ),
            partners.digest if partners is not None else "-",
        )
