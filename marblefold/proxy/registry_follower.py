"""Connects to the registries: sends them our notices and follows their feeds."""

import asyncio
import time
import zlib
from collections.abc import Callable
from typing import Protocol

from marblefold.errors import MeshError
from marblefold.inner_protocol.exchange import Exchange
from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.messages import kinds, pack_message, unpack_message
from marblefold.inner_protocol.peer_connection import PeerConnection
from marblefold.inner_protocol.peer_connection_pool import PeerConnectionPool
from marblefold.logs import log
from marblefold.proxy.first_news import FirstNews, ReceivedEntry
from marblefold.proxy.lease_client import LeaseClient
from marblefold.proxy.wants import Wants

__all__ = ["FeedTaker", "RegistryFollower"]

_LOOK_EVERY = 0.2
# A registry without a majority for longer does not count as in touch.
_TOUCH_SECONDS = 3.0
# A followed registry sends something every second; one that does not, or is
# lost, is avoided for a while if others can be followed.
_SILENT_SECONDS = 2.5
_PASS_OVER_SECONDS = 3.0
_COUNTING_SECONDS = 3.0


class FeedTaker(Protocol):
    """What applies the entries of the feeds."""

    proxies: int

    @property
    def registries(self) -> set[str]: ...

    def take(self, entry) -> bool: ...

    def is_news(self, entry) -> bool: ...


class RegistryFollower:
    """Owns the connections to the registries."""

    def __init__(
        self,
        node: str,
        seeds: Callable[[], list[str]],
        view: FeedTaker,
        make_notice: Callable[[], kinds.TargetNotice] | None = None,
        most: int | None = None,
        asker: LeaseClient | None = None,
    ) -> None:
        self._node = node
        self._seeds = seeds
        self._view = view
        self._make_notice = make_notice
        self._asker = asker
        # How many registries are followed at once; None follows them all.
        self._most = most
        self._peers = PeerConnectionPool(self)
        self._wants = Wants(view.is_news, self.send_to)
        self._first_news = FirstNews()
        self._places: dict[str, tuple[int, int]] = {}
        self._following: set[str] = set()
        self._touched: dict[str, float] = {}
        self._heard: dict[str, float] = {}
        self._counted_since = 0.0
        self._passed_over: dict[str, float] = {}

    @property
    def is_in_touch(self) -> bool:
        """Whether a registry in contact with a majority sent something recently."""
        now = time.monotonic()
        return any(now - at < _TOUCH_SECONDS for at in self._touched.values())

    def tell(self) -> None:
        """Sends a notice of the current state to all followed registries."""
        if self._make_notice is None:
            return
        self.send_to_all(self._make_notice())

    def send_to_all(self, message: object) -> None:
        """Sends a message to all registries that are followed."""
        for peer in self._following:
            self.send_to(peer, message)

    def send_to(self, peer: str, message: object) -> bool:
        """Sends a message to one registry; returns whether it is connected."""
        connection = self._peers.find(peer)
        if connection is not None:
            connection.send(FrameKind.NOTIFICATION, 0, pack_message(message))
        return connection is not None

    async def run(self) -> None:
        """Keeps a connection to every registry to be followed; runs forever."""
        was_in_touch = False
        while True:
            if self.is_in_touch != was_in_touch:
                was_in_touch = not was_in_touch
                log.info("in touch" if was_in_touch else "out of touch", node=self._node)
            wanted = self._find_wanted(time.monotonic())
            async with asyncio.TaskGroup() as group:
                for peer in wanted:
                    if self._peers.find(peer) is None:
                        group.create_task(self._follow(peer))
            self._ask_leases(time.monotonic())
            self._wants.repeat(time.monotonic())
            self.release_first_news(time.monotonic())
            await asyncio.sleep(_LOOK_EVERY)

    def _ask_leases(self, now: float) -> None:
        if self._asker is None or not self._asker.is_due(now):
            return
        for peer in self._following:
            self.send_to(peer, self._asker.ask(peer, now))

    def _find_wanted(self, now: float) -> list[str]:
        known = set(self._seeds()) | self._view.registries
        if self._most is None:
            return list(known)
        for peer in self._following & known:
            # An unresponsive registry, or one without a majority, is not relied on.
            is_silent = now - self._heard.get(peer, now) > _SILENT_SECONDS
            is_alone = now - self._touched.get(peer, now) > _SILENT_SECONDS
            if is_silent or is_alone:
                self._passed_over[peer] = now + _PASS_OVER_SECONDS
        ranked = sorted(
            known,
            key=lambda peer: (self._passed_over.get(peer, 0.0) > now, _rank(self._node, peer)),
        )
        wanted = ranked[: self._most]
        for peer in list(self._following):
            if peer not in wanted:
                self._peers.close_connection(peer)
        return wanted

    async def _follow(self, peer: str) -> None:
        try:
            connection = await self._peers.connect(peer)
        except MeshError:
            self._passed_over[peer] = time.monotonic() + _PASS_OVER_SECONDS
            return
        self._following.add(peer)
        self._heard[peer] = self._touched[peer] = time.monotonic()
        if self._make_notice is not None:
            connection.send(FrameKind.NOTIFICATION, 0, pack_message(self._make_notice()))
        life, place = self._places.get(peer, (0, 0))
        connection.send(
            FrameKind.NOTIFICATION,
            0,
            pack_message(kinds.Follow(node=self._node, registry_life=life, place=place)),
        )

    def on_notification(self, connection: PeerConnection, payload: bytes) -> None:
        """Applies a message of a registry: a part of its feed, an entry or a lease.

        Raises ValueError, zlib.error or DecodeError if it is malformed.
        """
        feed = unpack_message(payload)
        if isinstance(feed, kinds.LeaseGrant) and self._asker is not None:
            self._asker.take(feed)
        if isinstance(feed, kinds.Entry):
            self._view.take(feed)
        if not isinstance(feed, kinds.Feed):
            return
        self._heard[connection.peer] = time.monotonic()
        life, place = self._places.get(connection.peer, (0, 0))
        entries = feed.entries
        if feed.compressed_entries:
            entries = kinds.Feed.FromString(zlib.decompress(feed.compressed_entries)).entries
        # Changes that do not continue what we have show a gap: start over.
        joins = feed.snapshot or (feed.registry_life == life and feed.place - len(entries) <= place)
        if not joins:
            self._places.pop(connection.peer, None)
            connection.send(FrameKind.NOTIFICATION, 0, pack_message(kinds.Follow(node=self._node)))
            return
        self._places[connection.peer] = (feed.registry_life, feed.place)
        if feed.in_touch:
            self._touched[connection.peer] = time.monotonic()
        self._take_count(feed.proxies, time.monotonic())
        now = time.monotonic()
        self._take(self._first_news.admit(connection.peer, entries, feed.in_touch, now), now)

    def release_first_news(self, now: float) -> None:
        """Applies entries held back for too long; `now` is in monotonic seconds."""
        self._take(self._first_news.admit("", (), False, now), now)

    def _take(self, received: list[ReceivedEntry], now: float) -> None:
        for peer, entry in received:
            if entry.deferred:
                self._wants.hear(peer, entry, now)
            else:
                self._view.take(entry)

    def _take_count(self, proxies: int, now: float) -> None:
        """Records how many proxies share the retry budget."""
        self._counted_since = self._counted_since or now
        # Registries that start together with us count up from zero; and the
        # largest of several counts is the cautious choice.
        if now - self._counted_since >= _COUNTING_SECONDS:
            self._view.proxies = max(self._view.proxies, proxies)

    def on_lost(self, connection: PeerConnection) -> None:
        """A connection to a registry is lost; `run` will reconnect."""
        self._following.discard(connection.peer)
        log.info("registry lost", peer=connection.peer)

    def on_hop(self, exchange: Exchange, payload: bytes) -> None:
        """Registries send no hops."""
        exchange.close()

    def on_call(self, connection: PeerConnection, number: int, payload: bytes) -> None:
        """Registries make no calls."""


def _rank(node: str, peer: str) -> int:
    return zlib.crc32(f"{node}|{peer}".encode())
