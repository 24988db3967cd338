"""Carries calls between stores, our own acceptor among those called."""

import time
from collections.abc import Callable

from marblefold.errors import DiskError, MeshError
from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.messages import kinds, pack_message, unpack_message
from marblefold.inner_protocol.peer_connection_pool import PeerConnectionPool
from marblefold.register_store.acceptor import Acceptor
from marblefold.register_store.ballots import Holding, pack_holding
from marblefold.register_store.calls import CallKind
from marblefold.register_store.view import View, read_view

__all__ = ["StorePeers", "answer_call"]

_CALL_SECONDS = 1.0
# The calls whose answers rest on what lasts.
_FROM_DISK = (CallKind.PREPARE, CallKind.ACCEPT, CallKind.READ)


def answer_call(acceptor: Acceptor, call: kinds.StoreCall) -> kinds.StoreAnswer | None:
    """The acceptor's answer to a call; None for calls that are not for it.

    A disk in trouble makes it a refusal: nothing is promised from memory alone.
    """
    try:
        return _answer_from_disk(acceptor, call)
    except DiskError as error:
        return kinds.StoreAnswer(reason=f"disk: {error.reason}")
    except MeshError as error:
        return kinds.StoreAnswer(reason=str(error))


def _answer_from_disk(acceptor: Acceptor, call: kinds.StoreCall) -> kinds.StoreAnswer | None:
    # Callers name only views that were chosen: a newer one is taken in.
    if call.view:
        acceptor.take_view(read_view(call.view))
    if call.kind not in _FROM_DISK:
        return None
    acceptor.settle_disk()
    if call.kind == CallKind.PREPARE:
        return acceptor.prepare(call)
    if call.kind == CallKind.ACCEPT:
        return acceptor.accept(call)
    return acceptor.answer_read(call)


class StorePeers:
    """The other stores, and when each last answered or called."""

    def __init__(
        self,
        acceptor: Acceptor,
        peers: PeerConnectionPool,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.heard: dict[str, float] = {}
        self._acceptor = acceptor
        self._peers = peers
        self._clock = clock

    def current_view(self) -> View | None:
        """The newest chosen view known."""
        return self._acceptor.view

    def learn_view(self, view: View) -> None:
        """A peer knows a view that was chosen."""
        self._acceptor.take_view(view)

    def note_heard(self, peer: str) -> None:
        """The peer said something."""
        self.heard[peer] = self._clock()

    def silence(self, peer: str, since: float) -> float:
        """For how many seconds the peer has said nothing."""
        return self._clock() - max(self.heard.get(peer, since), since)

    def tell_chosen(self, peer: str, register: str, holding: Holding) -> None:
        """Sends a peer that is in reach what was chosen; comparing does the rest."""
        connection = self._peers.find(peer)
        if connection is not None:
            connection.send(
                FrameKind.NOTIFICATION, 0, pack_message(pack_holding(register, holding))
            )

    async def call(self, peer: str, call: kinds.StoreCall) -> kinds.StoreAnswer:
        """The peer's answer, or a MeshError."""
        own = self._acceptor
        if peer == own.address:
            answer = answer_call(own, call)
            if answer is None:
                raise MeshError(call.kind, "not for ourselves", peer)
            return answer
        call.sender = own.address
        call.sender_life = own.life
        connection = await self._peers.connect(peer)
        reply: kinds.StoreAnswer = unpack_message(
            await connection.call(pack_message(call), _CALL_SECONDS)
        )
        self.note_heard(peer)
        return reply
