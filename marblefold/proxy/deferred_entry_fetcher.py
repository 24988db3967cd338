"""Fetches each large entry from one registry, when several announce it."""

from collections.abc import Callable

from marblefold.inner_protocol.messages import kinds

__all__ = ["DeferredEntryFetcher"]

# After so many seconds without the entry another registry is asked.
_PATIENCE_SECONDS = 0.35


class _Wanted:
    """An announced entry, the registries that have it, and when one was asked."""

    def __init__(self, entry) -> None:
        self.entry = entry
        self.peers: list[str] = []
        self.asked_at = -1e9


class DeferredEntryFetcher:
    """The entries to fetch and the registries that have them; `now`: monotonic seconds."""

    def __init__(
        self,
        is_news: Callable[[object], bool],
        send: Callable[[str, kinds.Want], bool],
    ) -> None:
        self._is_news = is_news
        self._send = send
        self._wanted: dict[tuple[str, str], _Wanted] = {}

    def note_announcement(self, peer: str, entry, now: float) -> None:
        """A registry announced this entry."""
        if not self._is_news(entry):
            return
        key = (entry.kind, entry.key)
        wanted = self._wanted.get(key)
        version = (entry.life, entry.number)
        if wanted is None or (wanted.entry.life, wanted.entry.number) < version:
            wanted = self._wanted[key] = _Wanted(entry)
        if (wanted.entry.life, wanted.entry.number) == version:
            wanted.peers.insert(0, peer)
        self._ask(wanted, now)

    def retry(self, now: float) -> None:
        """Asks another registry for each entry that did not arrive in time."""
        for key, wanted in list(self._wanted.items()):
            if not self._is_news(wanted.entry):
                del self._wanted[key]
                continue
            self._ask(wanted, now)

    def _ask(self, wanted: _Wanted, now: float) -> None:
        if now - wanted.asked_at < _PATIENCE_SECONDS:
            return
        want = kinds.Want(kind=wanted.entry.kind, key=wanted.entry.key)
        # The registry that was asked goes to the end of the list.
        for _ in range(len(wanted.peers)):
            peer = wanted.peers.pop(0)
            wanted.peers.append(peer)
            if self._send(peer, want):
                wanted.asked_at = now
                return
