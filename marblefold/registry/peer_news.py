"""Takes over from the other registries what only one of them finds out."""

from collections.abc import Callable

from marblefold.inner_protocol.messages import kinds
from marblefold.registry.catalogue import Catalogue

__all__ = ["PeerNews"]


class PeerNews:
    """Follows the feeds of the others, for entries of a few kinds only."""

    def __init__(
        self,
        catalogue: Catalogue,
        kinds_taken: set[str],
        others: Callable[[], set[str]],
    ) -> None:
        self.proxies = 0
        self._catalogue = catalogue
        self._kinds = kinds_taken
        self._others = others

    @property
    def registries(self) -> set[str]:
        """Whom to follow."""
        return self._others()

    def is_newer(self, entry: kinds.Entry) -> bool:
        """Whether a deferred entry is worth asking for; ours never are large."""
        return False

    def apply(self, entry: kinds.Entry) -> bool:
        """Takes in an entry of another registry, if it is newer than ours."""
        return entry.kind in self._kinds and self._catalogue.put(entry)
