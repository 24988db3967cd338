"""Publishes the catalogue's changes to the followers of this registry."""

import asyncio
import math
import time
import zlib
from collections.abc import Callable
from datetime import timedelta

from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.messages import messages_pb2, pack_message
from marblefold.inner_protocol.peer_connection import PeerConnection
from marblefold.inner_protocol.ports import REGISTRIES_PER_GATEWAY
from marblefold.registry.catalogue import Catalogue

__all__ = ["FeedPublisher", "estimate_gateways"]

_MAX_INLINE_VALUE_BYTES = 1024
_KEEPALIVE_INTERVAL = timedelta(seconds=1)
# A push costs CPU time for every follower.  Spacing pushes by this much for each
# follower bounds their share of a core however many changes come; the maximum
# bounds the delay that this adds to an update.
_PUSH_SPACING_PER_FOLLOWER = timedelta(microseconds=400)
_MAX_PUSH_SPACING = timedelta(milliseconds=200)
# Feeds with at least this many entries are compressed.
_MIN_COMPRESSED_ENTRIES = 8


class FeedPublisher:
    """Tracks the followers and the catalogue revision that each was last sent."""

    def __init__(
        self,
        catalogue: Catalogue,
        is_in_contact: Callable[[], bool],
        count_proxies: Callable[[], int],
        schedule: Callable[[float, Callable[[], None]], object] | None = None,
    ) -> None:
        self._catalogue = catalogue
        self._is_in_contact = is_in_contact
        self._count_proxies = count_proxies
        self._schedule = schedule or _call_later
        self._last_push_at = 0.0
        self._revisions: dict[PeerConnection, int] = {}
        self._is_push_pending = False
        catalogue.add_listener(self._on_change)

    def follow(self, connection: PeerConnection, follow: messages_pb2.Follow) -> None:
        """Adds a follower and sends it the changes since its revision, or a snapshot."""
        changes = self._catalogue.changes_since(follow.registry_life, follow.place)
        self._revisions[connection] = self._catalogue.revision
        connection.send(FrameKind.NOTIFICATION, 0, self._pack(changes))

    @property
    def follower_count(self) -> int:
        """The number of followers."""
        return len(self._revisions)

    def remove_follower(self, connection: PeerConnection) -> None:
        """Removes a follower whose connection was lost."""
        self._revisions.pop(connection, None)

    async def run(self) -> None:
        """Sends keepalives at a fixed interval, forever."""
        while True:
            await asyncio.sleep(_KEEPALIVE_INTERVAL.total_seconds())
            self.send_keepalive()

    def send_keepalive(self) -> None:
        """Sends an empty feed: this registry is alive, and whether it has quorum contact."""
        payload = self._pack([])
        for connection, revision in list(self._revisions.items()):
            # Followers that are behind receive the same fields with the pending push.
            if revision == self._catalogue.revision:
                connection.send(FrameKind.NOTIFICATION, 0, payload)

    def _on_change(self, _revision: int, _entry: messages_pb2.Entry) -> None:
        # Batches changes that arrive in quick succession.
        if not self._is_push_pending:
            self._is_push_pending = True
            spacing = min(_MAX_PUSH_SPACING, _PUSH_SPACING_PER_FOLLOWER * len(self._revisions))
            delay = self._last_push_at + spacing.total_seconds() - time.monotonic()
            self._schedule(max(0.0, delay), self._push)

    def _push(self) -> None:
        self._is_push_pending = False
        self._last_push_at = time.monotonic()
        catalogue = self._catalogue
        # Most followers are at the same revision, so each payload is built once.
        payloads: dict[int, bytes] = {}
        for connection, revision in list(self._revisions.items()):
            if revision == catalogue.revision:
                continue
            payload = payloads.get(revision)
            if payload is None:
                payload = payloads[revision] = self._pack(
                    catalogue.changes_since(catalogue.generation, revision)
                )
            self._revisions[connection] = catalogue.revision
            connection.send(FrameKind.NOTIFICATION, 0, payload)

    def send_entry(self, connection: PeerConnection, want: messages_pb2.Want) -> None:
        """Sends a follower a whole entry that the feed deferred."""
        entry = self._catalogue.find(want.kind, want.key)
        if entry is not None:
            connection.send(FrameKind.NOTIFICATION, 0, pack_message(entry))

    def _pack(self, changes: list[messages_pb2.Entry] | None) -> bytes:
        """Encodes the changes, or a snapshot of the catalogue if `changes` is None."""
        is_snapshot = changes is None
        entries = [
            _defer_large_value(entry)
            for entry in (self._catalogue.snapshot() if changes is None else changes)
        ]
        feed = messages_pb2.Feed(
            registry_life=self._catalogue.generation,
            place=self._catalogue.revision,
            snapshot=is_snapshot,
            in_touch=self._is_in_contact(),
            proxies=self._count_proxies(),
        )
        # A node that reconnects receives a snapshot from every registry, over a link
        # that also carries its requests.  Entries are similar, so they compress well.
        if len(entries) >= _MIN_COMPRESSED_ENTRIES:
            uncompressed = messages_pb2.Feed(entries=entries).SerializeToString()
            feed.compressed_entries = zlib.compress(uncompressed, 1)
        else:
            feed.entries.extend(entries)
        return pack_message(feed)


def _defer_large_value(entry: messages_pb2.Entry) -> messages_pb2.Entry:
    """Leaves out a large value: every registry announces it, and nodes fetch it from one."""
    if len(entry.value) <= _MAX_INLINE_VALUE_BYTES:
        return entry
    return messages_pb2.Entry(
        kind=entry.kind, key=entry.key, life=entry.life, number=entry.number, deferred=True
    )


def _call_later(seconds: float, push: Callable[[], None]) -> None:
    asyncio.get_running_loop().call_later(seconds, push)


def estimate_gateways(follower_count: int, registry_count: int) -> int:
    """Estimates the gateways of the mesh from the followers of one registry; at least 1.

    Each gateway follows REGISTRIES_PER_GATEWAY registries at most, and every other registry
    follows this one.
    """
    gateways = max(0, follower_count - (registry_count - 1))
    followed = min(registry_count, REGISTRIES_PER_GATEWAY)
    return max(1, math.ceil(gateways * registry_count / followed))
