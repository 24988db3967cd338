"""Takes over from the other registries what only one of them finds out."""

from collections.abc import Callable

from marblefold.inner_protocol.messages import kinds
from marblefold.registry.catalogue import Catalogue

__all__ = ["PeerUpdates"]


class PeerUpdates:
    """Follows the feeds of the peers, for entries of a few kinds only."""

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
        """Whom to follow."""
        return self._peers()

    def is_news(self, entry: kinds.Entry) -> bool:
        """Whether a deferred entry is worth asking for; ours never are large."""
        return False

    def take(self, entry: kinds.Entry) -> bool:
        """Takes in an entry of another registry, if it is newer than ours."""
        return entry.kind in self._accepted_kinds and self._catalogue.put(entry)
