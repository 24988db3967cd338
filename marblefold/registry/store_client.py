"""The registry's way to the stores: asks for words to hold, hears what holds."""

import asyncio
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

__all__ = ["ChosenRecord", "StoreClient"]

_LOOK_EVERY = 0.2
_CALL_SECONDS = 1.5


class ChosenRecord(NamedTuple):
    """A word of the operator that a majority holds."""

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
    ) -> None:
        self.stores: set[str] = set()
        self._own_store = own_store
        self._seeds = seeds
        self._on_record = on_record
        self._peers = PeerBook(self)
        self._watched: set[str] = set()

    async def ask(self, kind: str, register: str, number: int = 0, value: bytes = b""):
        """The stores' answer; MeshError if no store could give a clear one."""
        call = pack_message(
            kinds.RegisterCall(
                kind=kind, register=register, number=number, value=value, order=os.urandom(12)
            )
        )
        started = time.monotonic()
        last: MeshError | None = None
        for peer in self._in_order():
            left = _CALL_SECONDS - (time.monotonic() - started)
            if left <= 0.05:
                break
            try:
                connection = await self._peers.reach(peer)
                answer = unpack_message(await connection.call(call, left))
            except MeshError as error:
                last = error
                continue
            if answer.outcome != "unknown":
                return answer
            last = MeshError(kind, answer.reason, peer)
        raise last or MeshError(kind, "no store known")

    async def run(self) -> None:
        """Listens to every store, for ever."""
        while True:
            async with asyncio.TaskGroup() as group:
                for peer in self._in_order():
                    if peer not in self._watched:
                        group.create_task(self._watch(peer))
            await asyncio.sleep(_LOOK_EVERY)

    async def _watch(self, peer: str) -> None:
        try:
            connection = await self._peers.reach(peer)
            self._watched.add(peer)
            await connection.call(pack_message(kinds.RegisterCall(kind="watch")), _CALL_SECONDS)
        except MeshError:
            self._watched.discard(peer)

    def _in_order(self) -> list[str]:
        known = set(self._seeds()) | self.stores
        others = sorted(known - {self._own_store})
        return [self._own_store, *others]

    def on_tell(self, connection: PeerConnection, payload: bytes) -> None:
        """A store tells a word that holds."""
        accepted = unpack_message(payload)
        if isinstance(accepted, kinds.Accepted):
            self._on_record(ChosenRecord(accepted.register, accepted.number, accepted.value))

    def on_lost(self, connection: PeerConnection) -> None:
        """A store is out of reach."""
        self._watched.discard(connection.peer)
        log.info("store lost", peer=connection.peer)

    def on_hop(self, exchange: Exchange, payload: bytes) -> None:
        """Stores send no hops."""
        exchange.close()

    def on_call(self, connection: PeerConnection, number: int, payload: bytes) -> None:
        """Stores call for nothing here."""
