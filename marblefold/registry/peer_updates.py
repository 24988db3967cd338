"""Copies entries that only one registry discovers from the feeds of its peers."""

from collections.abc import Callable

from marblefold.inner_protocol.messages import messages_pb2
from marblefold.registry.catalogue import Catalogue

__all__ = ["PeerUpdates"]


class PeerUpdates:
    """Receives entries of the peers' feeds; accepts certain kinds only."""

    def __init__(
        self,
        catalogue: Catalogue,
        accepted_kinds: set[str],
        peers: Callable[[], set[str]],
    ) -> None:
        self.proxies = 0
        self._catalogue = catalogue
        self._accepted_kinds = accepted_kinds
        self._peers = peers

    @property
    def registries(self) -> set[str]:
        """The registries to follow."""
        return self._peers()

    def is_newer(self, entry: messages_pb2.Entry) -> bool:
        """Whether to request a deferred entry: never, as the accepted kinds have small values."""
        return False

    def apply(self, entry: messages_pb2.Entry) -> bool:
        """Stores an entry of another registry if it is newer; returns whether it was."""
        return entry.kind in self._accepted_kinds and self._catalogue.put(entry)
