"""Connects to the registries: sends them reports of this node and follows their feeds."""

import asyncio
import time
import zlib
from collections.abc import Callable
from typing import Protocol

from marblefold.errors import MeshError
from marblefold.inner_protocol.exchange import Exchange
from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.messages import messages_pb2, pack_message, unpack_message
from marblefold.inner_protocol.peer_connection import PeerConnection
from marblefold.inner_protocol.peer_connection_pool import PeerConnectionPool
from marblefold.logs import log
from marblefold.proxy.deferred_entry_fetcher import DeferredEntryFetcher
from marblefold.proxy.lease_client import LeaseClient
from marblefold.proxy.startup_entry_hold import ReceivedEntry, StartupEntryHold

__all__ = ["FeedConsumer", "RegistryFollower"]

_CHECK_INTERVAL_SECONDS = 0.2
# After this time without a majority, a registry does not count as in touch.
_CONTACT_TIMEOUT_SECONDS = 3.0
# A followed registry sends a message every second.  One that does not, or whose connection
# is lost, is avoided for a while if others can be followed.
_SILENCE_TIMEOUT_SECONDS = 2.5
_AVOID_SECONDS = 3.0
# Counts of proxies are ignored for this time after the first one.
_COUNT_SETTLING_SECONDS = 3.0


class FeedConsumer(Protocol):
    """Applies the entries of the feeds."""

    proxies: int

    @property
    def registries(self) -> set[str]: ...

    def apply(self, entry) -> bool: ...

    def is_newer(self, entry) -> bool: ...


class RegistryFollower:
    """Keeps the connections to the followed registries."""

    def __init__(
        self,
        node: str,
        seeds: Callable[[], list[str]],
        view: FeedConsumer,
        make_report: Callable[[], messages_pb2.TargetNotice] | None = None,
        max_followed: int | None = None,
        lease_client: LeaseClient | None = None,
    ) -> None:
        self._node = node
        self._seeds = seeds
        self._view = view
        self._make_report = make_report
        self._lease_client = lease_client
        # The number of registries to follow at once; None follows all of them.
        self._max_followed = max_followed
        self._peers = PeerConnectionPool(self)
        self._entry_fetcher = DeferredEntryFetcher(view.is_newer, self.send_to)
        self._startup_hold = StartupEntryHold()
        self._places: dict[str, tuple[int, int]] = {}
        self._following: set[str] = set()
        self._awaiting_first_feed: set[str] = set()
        self._majority_seen_at: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self._counted_since = 0.0
        self._avoided_until: dict[str, float] = {}

    @property
    def is_in_touch(self) -> bool:
        """Whether a registry in contact with a majority sent a message recently."""
        now = time.monotonic()
        return any(now - at < _CONTACT_TIMEOUT_SECONDS for at in self._majority_seen_at.values())

    def send_target_report(self) -> None:
        """Sends a report of the current state to all followed registries.

        A registry gets its first report once its feed has shown what an earlier process
        of this node reported.
        """
        if self._make_report is None:
            return
        report = self._make_report()
        for peer in self._following - self._awaiting_first_feed:
            self.send_to(peer, report)

    def send_to_all(self, message: object) -> None:
        """Sends a message to all followed registries."""
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
                log.info(
                    "registry majority reachable" if was_in_touch else "registry majority lost",
                    node=self._node,
                )
            selected = self._select_registries(time.monotonic())
            async with asyncio.TaskGroup() as group:
                for peer in selected:
                    if self._peers.find(peer) is None:
                        group.create_task(self._follow(peer))
            self._request_leases(time.monotonic())
            self._entry_fetcher.retry(time.monotonic())
            self.release_held_entries(time.monotonic())
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)

    def _request_leases(self, now: float) -> None:
        if self._lease_client is None or not self._lease_client.is_due(now):
            return
        for peer in self._following:
            self.send_to(peer, self._lease_client.make_request(peer, now))

    def _select_registries(self, now: float) -> list[str]:
        known = set(self._seeds()) | self._view.registries
        if self._max_followed is None:
            return list(known)
        for peer in self._following & known:
            # Avoids an unresponsive registry and one without a majority.
            is_silent = now - self._heard_at.get(peer, now) > _SILENCE_TIMEOUT_SECONDS
            has_no_majority = now - self._majority_seen_at.get(peer, now) > _SILENCE_TIMEOUT_SECONDS
            if is_silent or has_no_majority:
                self._avoided_until[peer] = now + _AVOID_SECONDS
        ranked = sorted(
            known,
            key=lambda peer: (self._avoided_until.get(peer, 0.0) > now, _rank(self._node, peer)),
        )
        selected = ranked[: self._max_followed]
        for peer in list(self._following):
            if peer not in selected:
                self._peers.close_connection(peer)
        return selected

    async def _follow(self, peer: str) -> None:
        try:
            connection = await self._peers.connect(peer)
        except MeshError:
            self._avoided_until[peer] = time.monotonic() + _AVOID_SECONDS
            return
        self._following.add(peer)
        self._awaiting_first_feed.add(peer)
        self._heard_at[peer] = self._majority_seen_at[peer] = time.monotonic()
        generation, place = self._places.get(peer, (0, 0))
        connection.send(
            FrameKind.NOTIFICATION,
            0,
            pack_message(
                messages_pb2.Follow(node=self._node, registry_life=generation, place=place)
            ),
        )

    def on_notification(self, connection: PeerConnection, payload: bytes) -> None:
        """Applies a message of a registry: a part of its feed, an entry or a lease grant.

        Raises ValueError, zlib.error or DecodeError if it is malformed.
        """
        feed = unpack_message(payload)
        if isinstance(feed, messages_pb2.LeaseGrant) and self._lease_client is not None:
            self._lease_client.apply_grant(feed)
        if isinstance(feed, messages_pb2.Entry):
            self._view.apply(feed)
        if not isinstance(feed, messages_pb2.Feed):
            return
        self._heard_at[connection.peer] = time.monotonic()
        generation, place = self._places.get(connection.peer, (0, 0))
        entries = feed.entries
        if feed.compressed_entries:
            entries = messages_pb2.Feed.FromString(zlib.decompress(feed.compressed_entries)).entries
        # Changes that do not follow the last known place leave a gap: requests a snapshot.
        is_contiguous = feed.snapshot or (
            feed.registry_life == generation and feed.place - len(entries) <= place
        )
        if not is_contiguous:
            self._places.pop(connection.peer, None)
            connection.send(
                FrameKind.NOTIFICATION, 0, pack_message(messages_pb2.Follow(node=self._node))
            )
            return
        self._places[connection.peer] = (feed.registry_life, feed.place)
        if feed.in_touch:
            self._majority_seen_at[connection.peer] = time.monotonic()
        self._update_proxy_count(feed.proxies, time.monotonic())
        now = time.monotonic()
        self._apply(self._startup_hold.admit(connection.peer, entries, feed.in_touch, now), now)
        if connection.peer in self._awaiting_first_feed:
            self._awaiting_first_feed.discard(connection.peer)
            if self._make_report is not None:
                connection.send(FrameKind.NOTIFICATION, 0, pack_message(self._make_report()))

    def release_held_entries(self, now: float) -> None:
        """Applies entries whose hold has timed out; `now` is in monotonic seconds."""
        self._apply(self._startup_hold.admit("", (), False, now), now)

    def _apply(self, received: list[ReceivedEntry], now: float) -> None:
        for peer, entry in received:
            if entry.deferred:
                self._entry_fetcher.note_announcement(peer, entry, now)
            else:
                self._view.apply(entry)

    def _update_proxy_count(self, proxies: int, now: float) -> None:
        """Updates the number of proxies that share the retry budget."""
        self._counted_since = self._counted_since or now
        # Registries that start at the same time as this node count up from zero.  The largest
        # count is used, as it gives this proxy the smallest share.
        if now - self._counted_since >= _COUNT_SETTLING_SECONDS:
            self._view.proxies = max(self._view.proxies, proxies)

    def on_lost(self, connection: PeerConnection) -> None:
        """Handles a lost connection to a registry; `run` reconnects."""
        self._following.discard(connection.peer)
        self._awaiting_first_feed.discard(connection.peer)
        log.info("registry connection lost", peer=connection.peer)

    def on_hop(self, exchange: Exchange, payload: bytes) -> None:
        """Registries send no hops."""
        exchange.close()

    def on_call(self, connection: PeerConnection, number: int, payload: bytes) -> None:
        """Registries make no calls."""


def _rank(node: str, peer: str) -> int:
    return zlib.crc32(f"{node}|{peer}".encode())
