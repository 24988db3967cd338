"""The registry's way to the stores: asks them for changes, receives what is chosen."""

import asyncio
import contextlib
import os
import time
from collections.abc import Callable
from typing import NamedTuple

from marblefold.errors import MeshError
from marblefold.inner_protocol.exchange import Exchange
from marblefold.inner_protocol.messages import kinds, pack_message, unpack_message
from marblefold.inner_protocol.peer_book import PeerBook
from marblefold.inner_protocol.peer_connection import PeerConnection
from marblefold.logs import log
from marblefold.register_store.call_kinds import Outcome, RegisterCallKind
from marblefold.register_store.view import read_view
from marblefold.registry.command_router import check_command, remaining_seconds
from marblefold.registry.hedging import call_hedged
from marblefold.registry.quorum_contact import QuorumContact
from marblefold.task_keeper import TaskKeeper

__all__ = ["ChosenRecord", "StoreClient"]

_LOOK_EVERY = 0.2
_HEARTBEAT_EVERY = 0.4
# Out of contact, as after a start: nodes that start too wait for the first of it.
_HURRIED = 0.05
_HEARTBEAT_SECONDS = 1.0
_CALL_SECONDS = 0.9
# Callers wait longer for what takes longer to carry to a majority.
_CONFIGURATION_SECONDS = 1.5
# A store that said nothing for so long is not waited for alone.
_PATIENCE_SECONDS = 0.4
_PASS_OVER_SECONDS = 1.0


class ChosenRecord(NamedTuple):
    """A record of the operator that a majority holds."""

    register: str
    number: int
    value: bytes


class StoreClient:
    """Owns the connections to the stores; the one on this machine is asked first."""

    def __init__(
        self,
        own_store: str,
        seeds: Callable[[], list[str]],
        on_record: Callable[[ChosenRecord], None],
        contact: QuorumContact,
        peers: PeerBook | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.stores: set[str] = set()
        self._own_store = own_store
        self._seeds = seeds
        self._on_record = on_record
        self._contact = contact
        self._peers = peers or PeerBook(self)
        self._clock = clock
        self._attended: set[str] = set()
        self._passed_over: dict[str, float] = {}
        self._tasks = TaskKeeper()

    async def ask(
        self, kind: str, register: str, number: int = 0, value: bytes = b""
    ) -> kinds.RegisterAnswer:
        """What a majority holds after the ask; MeshError if no store could say in time.

        After a MeshError it is unclear whether a change took or will take effect.
        """
        is_large = kind == RegisterCallKind.CONFIGURATION
        if kind != RegisterCallKind.DESCRIBE:
            check_command(is_age_exempt=is_large)
        call = pack_message(
            kinds.RegisterCall(
                kind=kind, register=register, number=number, value=value, order=os.urandom(12)
            )
        )
        silent: set[str] = set()

        async def ask_one(peer: str, seconds: float) -> kinds.RegisterAnswer:
            silent.add(peer)
            connection = await self._peers.reach(peer)
            answer: kinds.RegisterAnswer = unpack_message(await connection.call(call, seconds))
            silent.discard(peer)
            if answer.outcome == Outcome.UNKNOWN:
                raise MeshError(kind, answer.reason, peer)
            return answer

        peers = self._in_order()
        # Every change is fenced by a number, so that it may be asked of two stores.
        seconds = _CONFIGURATION_SECONDS if is_large else remaining_seconds(_CALL_SECONDS)
        try:
            return await call_hedged(peers, ask_one, _PATIENCE_SECONDS, seconds)
        finally:
            # The next ask does not begin with those that this one waited for.
            until = self._clock() + _PASS_OVER_SECONDS
            self._passed_over.update(dict.fromkeys(silent, until))

    async def run(self) -> None:
        """Follows every store, for ever."""
        try:
            while True:
                for peer in self._in_order():
                    if peer not in self._attended:
                        self._attended.add(peer)
                        self._tasks.start(self._attend(peer))
                # Contact that ran out is reported, though no answer comes.
                self._contact.notify_change()
                await asyncio.sleep(self._pause(_LOOK_EVERY))
        finally:
            self._tasks.cancel()

    async def _attend(self, peer: str) -> None:
        """Watches one store and sends it heartbeats, until its connection is lost."""
        try:
            connection = await self._peers.reach(peer)
            watch = pack_message(kinds.RegisterCall(kind=RegisterCallKind.WATCH))
            # Asked once for each connection: a store that hangs answers in the end.
            with contextlib.suppress(MeshError):
                await connection.call(watch, _HEARTBEAT_SECONDS)
            while connection.is_open and peer in self._in_order():
                await self._send_heartbeat(peer, connection)
                await asyncio.sleep(self._pause(_HEARTBEAT_EVERY))
        except MeshError:
            # Out of reach: the next look tries again.
            return
        finally:
            self._attended.discard(peer)

    async def _send_heartbeat(self, peer: str, connection: PeerConnection) -> None:
        asked_at = self._clock()
        beat = pack_message(kinds.RegisterCall(kind=RegisterCallKind.HEARTBEAT))
        try:
            answer = unpack_message(await connection.call(beat, _HEARTBEAT_SECONDS))
        except MeshError:
            # A store that hangs is still watched: its updates come when it goes on.
            return
        if answer.outcome == Outcome.HELD:
            self._contact.record_vote(peer, read_view(answer.value), asked_at)
        else:
            self._contact.record_refusal(peer, asked_at)

    def _pause(self, calm: float) -> float:
        return calm if self._contact.is_held else _HURRIED

    def _in_order(self) -> list[str]:
        """The stores to ask: our own first, and those last that are silent."""
        now = self._clock()

        def rank(peer: str) -> tuple[bool, bool, str]:
            is_slow = self._contact.is_silent(peer) or self._passed_over.get(peer, now) > now
            return is_slow, peer != self._own_store, peer

        return sorted({*self._seeds(), *self.stores, self._own_store}, key=rank)

    def on_tell(self, connection: PeerConnection, payload: bytes) -> None:
        """A store sends a record that is chosen."""
        accepted = unpack_message(payload)
        if isinstance(accepted, kinds.Accepted):
            self._on_record(ChosenRecord(accepted.register, accepted.number, accepted.value))

    def on_lost(self, connection: PeerConnection) -> None:
        """A store is out of reach."""
        log.info("store lost", peer=connection.peer)

    def on_hop(self, exchange: Exchange, payload: bytes) -> None:
        """Stores send no hops."""
        exchange.close()

    def on_call(self, connection: PeerConnection, number: int, payload: bytes) -> None:
        """Stores call for nothing here."""
