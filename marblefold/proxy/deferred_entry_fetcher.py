"""Fetches each large entry from one of the registries that announce it."""

from collections.abc import Callable

from marblefold.inner_protocol.messages import messages_pb2

__all__ = ["DeferredEntryFetcher"]

# If the entry does not arrive within this time, another registry is asked.
_RETRY_SECONDS = 0.35


class _PendingEntry:
    """An announced entry, the registries that have it, and when one was last asked."""

    def __init__(self, entry) -> None:
        self.entry = entry
        self.peers: list[str] = []
        self.requested_at = -1e9


class DeferredEntryFetcher:
    """Tracks the entries to fetch and the registries that have them.

    `now` is in monotonic seconds.
    """

    def __init__(
        self,
        is_newer: Callable[[object], bool],
        send: Callable[[str, messages_pb2.Want], bool],
    ) -> None:
        self._is_newer = is_newer
        self._send = send
        self._pending: dict[tuple[str, str], _PendingEntry] = {}

    def note_announcement(self, peer: str, entry, now: float) -> None:
        """Records that a registry has this entry, and requests it if it is due."""
        if not self._is_newer(entry):
            return
        key = (entry.kind, entry.key)
        pending = self._pending.get(key)
        version = (entry.life, entry.number)
        if pending is None or (pending.entry.life, pending.entry.number) < version:
            pending = self._pending[key] = _PendingEntry(entry)
        if (pending.entry.life, pending.entry.number) == version:
            pending.peers.insert(0, peer)
        self._request(pending, now)

    def retry(self, now: float) -> None:
        """Requests each entry that did not arrive in time from another registry."""
        for key, pending in list(self._pending.items()):
            if not self._is_newer(pending.entry):
                del self._pending[key]
                continue
            self._request(pending, now)

    def _request(self, pending: _PendingEntry, now: float) -> None:
        if now - pending.requested_at < _RETRY_SECONDS:
            return
        want = messages_pb2.Want(kind=pending.entry.kind, key=pending.entry.key)
        # Each registry that is tried moves to the end of the list.
        for _ in range(len(pending.peers)):
            peer = pending.peers.pop(0)
            pending.peers.append(peer)
            if self._send(peer, want):
                pending.requested_at = now
                return
