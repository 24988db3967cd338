"""Brings the catalogue to those that follow it."""

import asyncio
import time
import zlib
from collections.abc import Callable
from datetime import timedelta

from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.messages import kinds, pack_message
from marblefold.inner_protocol.peer_connection import PeerConnection
from marblefold.registry.catalogue import Catalogue

__all__ = ["FeedPublisher"]

_LARGEST_VALUE = 1024
_SIGN_OF_LIFE = timedelta(seconds=1)
# Each push costs the registry something for every follower: pushes are spaced
# by this much for each of them, so that their share of a core has a bound
# however many changes come, up to what an update may be late by.
_SPACING_EACH = timedelta(microseconds=400)
_LONGEST_SPACING = timedelta(milliseconds=200)
# A snapshot of so many entries is worth compressing.
_COMPRESSED_ENTRIES = 8


class FeedPublisher:
    """The follower_count of this registry and how far each has come."""

    def __init__(
        self,
        catalogue: Catalogue,
        is_in_touch: Callable[[], bool],
        count_proxies: Callable[[], int],
        schedule: Callable[[float, Callable[[], None]], object] | None = None,
    ) -> None:
        self._catalogue = catalogue
        self._is_in_touch = is_in_touch
        self._count_proxies = count_proxies
        self._schedule = schedule or _call_later
        self._last_push_at = 0.0
        self._revisions: dict[PeerConnection, int] = {}
        self._is_pending = False
        catalogue.add_listener(self._on_change)

    def follow(self, connection: PeerConnection, follow: kinds.Follow) -> None:
        """Somebody follows from a place on."""
        changes = self._catalogue.changes_since(follow.registry_life, follow.place)
        self._revisions[connection] = self._catalogue.revision
        connection.send(FrameKind.TELL, 0, self._pack(changes))

    @property
    def follower_count(self) -> int:
        """How many follow this registry."""
        return len(self._revisions)

    def remove_follower(self, connection: PeerConnection) -> None:
        """A follower is gone."""
        self._revisions.pop(connection, None)

    async def run(self) -> None:
        """Says regularly that this registry lives and what it reaches."""
        while True:
            await asyncio.sleep(_SIGN_OF_LIFE.total_seconds())
            self.send_keepalive()

    def send_keepalive(self) -> None:
        """Says that this registry lives, and whether it is in contact."""
        payload = self._pack([])
        for connection, place in list(self._revisions.items()):
            # Followers that are behind receive it with the push that is due.
            if place == self._catalogue.revision:
                connection.send(FrameKind.TELL, 0, payload)

    def _on_change(self, _place: int, _entry: kinds.Entry) -> None:
        # Changes that come close together travel together.
        if not self._is_pending:
            self._is_pending = True
            spacing = min(_LONGEST_SPACING, _SPACING_EACH * len(self._revisions))
            wait = self._last_push_at + spacing.total_seconds() - time.monotonic()
            self._schedule(max(0.0, wait), self._push)

    def _push(self) -> None:
        self._is_pending = False
        self._last_push_at = time.monotonic()
        catalogue = self._catalogue
        # Most follower_count stand at one place: what they are sent is built once.
        payloads: dict[int, bytes] = {}
        for connection, place in list(self._revisions.items()):
            if place == catalogue.revision:
                continue
            payload = payloads.get(place)
            if payload is None:
                payload = payloads[place] = self._pack(
                    catalogue.changes_since(catalogue.generation, place)
                )
            self._revisions[connection] = catalogue.revision
            connection.send(FrameKind.TELL, 0, payload)

    def send_entry(self, connection: PeerConnection, want: kinds.Want) -> None:
        """Somebody wants an entry whole."""
        entry = self._catalogue.find(want.kind, want.key)
        if entry is not None:
            connection.send(FrameKind.TELL, 0, pack_message(entry))

    def _pack(self, changes: list[kinds.Entry] | None) -> bytes:
        """The changes, or a snapshot of the catalogue where there are none to be had."""
        is_snapshot = changes is None
        entries = [
            _defer(entry) for entry in (self._catalogue.snapshot() if changes is None else changes)
        ]
        feed = kinds.Feed(
            registry_life=self._catalogue.generation,
            place=self._catalogue.revision,
            snapshot=is_snapshot,
            in_touch=self._is_in_touch(),
            proxies=self._count_proxies(),
        )
        # Entries are much alike: a node that comes back is sent all of them by
        # every registry, over a link that also carries its requests.
        if len(entries) >= _COMPRESSED_ENTRIES:
            whole = kinds.Feed(entries=entries).SerializeToString()
            feed.compressed_entries = zlib.compress(whole, 1)
        else:
            feed.entries.extend(entries)
        return pack_message(feed)


def _defer(entry: kinds.Entry) -> kinds.Entry:
    """A node receives the same update from every registry: it takes what is large from one."""
    if len(entry.value) <= _LARGEST_VALUE:
        return entry
    return kinds.Entry(
        kind=entry.kind, key=entry.key, life=entry.life, number=entry.number, deferred=True
    )


def _call_later(seconds: float, push: Callable[[], None]) -> None:
    asyncio.get_running_loop().call_later(seconds, push)
