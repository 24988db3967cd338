"""The registry's client of the stores: sends writes and receives chosen records."""

import asyncio
import contextlib
import os
import time
from collections.abc import Callable
from typing import NamedTuple

from marblefold.background_tasks import BackgroundTasks
from marblefold.errors import MeshError
from marblefold.inner_protocol.exchange import Exchange
from marblefold.inner_protocol.messages import messages_pb2, pack_message, unpack_message
from marblefold.inner_protocol.peer_connection import PeerConnection
from marblefold.inner_protocol.peer_connection_pool import PeerConnectionPool
from marblefold.logs import log
from marblefold.register_store.call_kinds import Outcome, RegisterCallKind
from marblefold.register_store.view import read_view
from marblefold.registry.command_router import check_command, remaining_seconds
from marblefold.registry.hedging import call_hedged
from marblefold.registry.quorum_contact import QuorumContact
from marblefold.registry.store_call_statistics import StoreCallStatistics

__all__ = ["ChosenRecord", "StoreClient"]

_STORE_CHECK_INTERVAL_SECONDS = 0.2
_HEARTBEAT_INTERVAL_SECONDS = 0.4
# Without contact, as after a start: nodes that are starting wait for a registry's first
# contact.
_NO_CONTACT_INTERVAL_SECONDS = 0.05
_HEARTBEAT_TIMEOUT_SECONDS = 1.0
_CALL_TIMEOUT_SECONDS = 0.9
# A configuration takes longer to replicate to a majority.
_CONFIGURATION_TIMEOUT_SECONDS = 1.5
# If a store has not answered after this delay, the next one is called as well.
_HEDGE_DELAY_SECONDS = 0.4
_DEPRIORITIZED_SECONDS = 1.0


class ChosenRecord(NamedTuple):
    """A record that a majority of the stores holds."""

    register: str
    number: int
    value: bytes


class StoreClient:
    """Owns the connections to the stores; prefers the store on this machine."""

    def __init__(
        self,
        local_store: str,
        seeds: Callable[[], list[str]],
        on_record: Callable[[ChosenRecord], None],
        contact: QuorumContact,
        peers: PeerConnectionPool | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.stores: set[str] = set()
        self.statistics = StoreCallStatistics()
        self._local_store = local_store
        self._seeds = seeds
        self._on_record = on_record
        self._contact = contact
        self._peers = peers or PeerConnectionPool(self)
        self._clock = clock
        self._watched: set[str] = set()
        self._deprioritized_until: dict[str, float] = {}
        self._tasks = BackgroundTasks()

    async def ask(
        self, kind: str, register: str, number: int = 0, value: bytes = b""
    ) -> messages_pb2.RegisterAnswer:
        """Returns what a majority holds after the call.

        Raises a MeshError if no store could answer in time; it is then unclear whether
        a change took or will take effect.
        """
        is_large = kind == RegisterCallKind.CONFIGURATION
        if kind != RegisterCallKind.DESCRIBE:
            check_command(is_age_exempt=is_large)
        call = pack_message(
            messages_pb2.RegisterCall(
                kind=kind, register=register, number=number, value=value, order=os.urandom(12)
            )
        )
        unanswered: set[str] = set()
        called: set[str] = set()
        began_at = self._clock()
        is_answered = False

        async def call_store(peer: str, seconds: float) -> messages_pb2.RegisterAnswer:
            called.add(peer)
            unanswered.add(peer)
            connection = await self._peers.connect(peer)
            answer: messages_pb2.RegisterAnswer = unpack_message(
                await connection.call(call, seconds)
            )
            unanswered.discard(peer)
            if answer.outcome == Outcome.UNKNOWN:
                raise MeshError(kind, answer.reason, peer)
            return answer

        peers = self._stores_by_preference()
        # Every change is fenced by a number, so it is safe to send it to several stores.
        seconds = (
            _CONFIGURATION_TIMEOUT_SECONDS if is_large else remaining_seconds(_CALL_TIMEOUT_SECONDS)
        )
        try:
            answer = await call_hedged(peers, call_store, _HEDGE_DELAY_SECONDS, seconds)
            is_answered = True
            return answer
        finally:
            self.statistics.count(kind, len(called), is_answered, self._clock() - began_at)
            # The next call tries the stores that did not answer this one last.
            deprioritized_until = self._clock() + _DEPRIORITIZED_SECONDS
            self._deprioritized_until.update(dict.fromkeys(unanswered, deprioritized_until))

    async def run(self) -> None:
        """Keeps a watch on every store, forever."""
        try:
            while True:
                for peer in self._stores_by_preference():
                    if peer not in self._watched:
                        self._watched.add(peer)
                        self._tasks.start(self._watch_store(peer))
                # Contact also expires when no answer arrives.
                self._contact.notify_change()
                await asyncio.sleep(self._interval_seconds(_STORE_CHECK_INTERVAL_SECONDS))
        finally:
            self._tasks.cancel()

    async def _watch_store(self, peer: str) -> None:
        """Watches one store and sends it heartbeats until its connection is lost."""
        try:
            connection = await self._peers.connect(peer)
            watch = pack_message(messages_pb2.RegisterCall(kind=RegisterCallKind.WATCH))
            # Sent once per connection: a store that hangs handles it when it resumes.
            with contextlib.suppress(MeshError):
                await connection.call(watch, _HEARTBEAT_TIMEOUT_SECONDS)
            while connection.is_open and peer in self._stores_by_preference():
                await self._send_heartbeat(peer, connection)
                await asyncio.sleep(self._interval_seconds(_HEARTBEAT_INTERVAL_SECONDS))
        except MeshError:
            # Unreachable: the next check reconnects.
            return
        finally:
            self._watched.discard(peer)

    async def _send_heartbeat(self, peer: str, connection: PeerConnection) -> None:
        sent_at = self._clock()
        heartbeat = pack_message(messages_pb2.RegisterCall(kind=RegisterCallKind.HEARTBEAT))
        try:
            answer = unpack_message(await connection.call(heartbeat, _HEARTBEAT_TIMEOUT_SECONDS))
        except MeshError:
            # The watch stays in place: a store that hangs sends its updates when it resumes.
            return
        if answer.outcome == Outcome.APPLIED:
            self._contact.record_vote(peer, read_view(answer.value), sent_at)
        else:
            self._contact.record_refusal(peer, sent_at)

    def _interval_seconds(self, contact_interval: float) -> float:
        return contact_interval if self._contact.is_held else _NO_CONTACT_INTERVAL_SECONDS

    def _stores_by_preference(self) -> list[str]:
        """The stores in order of preference: the local one first, silent ones last."""
        now = self._clock()

        def rank(peer: str) -> tuple[bool, bool, str]:
            is_deprioritized = (
                self._contact.is_silent(peer) or self._deprioritized_until.get(peer, now) > now
            )
            return is_deprioritized, peer != self._local_store, peer

        return sorted({*self._seeds(), *self.stores, self._local_store}, key=rank)

    def on_notification(self, connection: PeerConnection, payload: bytes) -> None:
        """Handles a chosen record that a store sent."""
        accepted = unpack_message(payload)
        if isinstance(accepted, messages_pb2.Accepted):
            self._on_record(ChosenRecord(accepted.register, accepted.number, accepted.value))

    def on_lost(self, connection: PeerConnection) -> None:
        """Logs a lost connection; `run` reconnects."""
        log.info("connection to store lost", peer=connection.peer)

    def on_hop(self, exchange: Exchange, payload: bytes) -> None:
        """Closes the exchange: stores send no hops."""
        exchange.close()

    def on_call(self, connection: PeerConnection, number: int, payload: bytes) -> None:
        """Ignored: stores send no calls to a registry."""
