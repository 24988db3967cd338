"""Carries calls between stores, including those to the local acceptor."""

import time
from collections.abc import Callable

from marblefold.errors import DiskError, MeshError
from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.messages import messages_pb2, pack_message, unpack_message
from marblefold.inner_protocol.peer_connection_pool import PeerConnectionPool
from marblefold.register_store.acceptor import Acceptor
from marblefold.register_store.acceptor_writer import AcceptorWriter, InlineWriter
from marblefold.register_store.ballots import AcceptedState, pack_accepted_state
from marblefold.register_store.peer_call_kinds import CallKind
from marblefold.register_store.view import View, read_view

__all__ = ["StorePeers", "answer_call", "answer_call_beside_reads"]

_CALL_TIMEOUT_SECONDS = 1.0
# The calls whose answers depend on durable records.
_DURABLE_CALL_KINDS = (CallKind.PREPARE, CallKind.ACCEPT, CallKind.READ)
# The calls of every change. Those of a recovery are rare, and run where the view may change.
_CALL_KINDS_ON_THE_WRITER = (CallKind.PREPARE, CallKind.ACCEPT)


def answer_call(
    acceptor: Acceptor, call: messages_pb2.StoreCall
) -> messages_pb2.StoreAnswer | None:
    """Returns the acceptor's answer to a call, or None for calls that it does not serve.

    A disk error becomes a refusal: nothing is promised from memory alone.
    """
    try:
        return _answer_durably(acceptor, call)
    except DiskError as error:
        return messages_pb2.StoreAnswer(reason=f"disk: {error.reason}")
    except MeshError as error:
        return messages_pb2.StoreAnswer(reason=str(error))


async def answer_call_beside_reads(
    acceptor: Acceptor, writer: AcceptorWriter, call: messages_pb2.StoreCall
) -> messages_pb2.StoreAnswer | None:
    """As `answer_call`, but other calls are answered while this one waits for the disk."""
    if call.kind not in _CALL_KINDS_ON_THE_WRITER:
        return answer_call(acceptor, call)
    try:
        if call.view:
            # Here, since the view changes on the thread of the event loop only.
            acceptor.learn_view(read_view(call.view))
    except DiskError as error:
        return messages_pb2.StoreAnswer(reason=f"disk: {error.reason}")
    return await writer.run(lambda: answer_call(acceptor, call))


def _answer_durably(
    acceptor: Acceptor, call: messages_pb2.StoreCall
) -> messages_pb2.StoreAnswer | None:
    # Callers send only chosen views, so a newer one is adopted.
    if call.view:
        acceptor.learn_view(read_view(call.view))
    if call.kind == CallKind.STATE:
        return acceptor.describe(call)
    if call.kind not in _DURABLE_CALL_KINDS:
        return None
    acceptor.rewrite_uncertain_records()
    if call.kind == CallKind.PREPARE:
        return acceptor.prepare(call)
    if call.kind == CallKind.ACCEPT:
        return acceptor.accept(call)
    return acceptor.answer_read(call)


class StorePeers:
    """The other stores, and the time at which each last answered or called."""

    def __init__(
        self,
        acceptor: Acceptor,
        peers: PeerConnectionPool,
        clock: Callable[[], float] = time.monotonic,
        writer: AcceptorWriter | None = None,
    ) -> None:
        self.last_contact: dict[str, float] = {}
        self._acceptor = acceptor
        self._peers = peers
        self._clock = clock
        self._writer = writer or InlineWriter()

    def current_view(self) -> View | None:
        """Returns the newest chosen view known."""
        return self._acceptor.view

    def learn_view(self, view: View) -> None:
        """Adopts a chosen view that a peer reported, if it is newer."""
        self._acceptor.learn_view(view)

    def record_contact(self, peer: str) -> None:
        """Records that the peer answered or called just now."""
        self.last_contact[peer] = self._clock()

    def silence_seconds(self, peer: str, since: float) -> float:
        """Returns the seconds since the peer last answered or called, or since `since` if later."""
        return self._clock() - max(self.last_contact.get(peer, since), since)

    def notify_chosen(self, peer: str, register: str, state: AcceptedState) -> None:
        """Sends a chosen state to a connected peer; anti-entropy covers all others."""
        connection = self._peers.find(peer)
        if connection is not None:
            connection.send(
                FrameKind.NOTIFICATION, 0, pack_message(pack_accepted_state(register, state))
            )

    async def call(self, peer: str, call: messages_pb2.StoreCall) -> messages_pb2.StoreAnswer:
        """Returns the peer's answer; raises MeshError if there is none in time."""
        local = self._acceptor
        if peer == local.address:
            answer = await answer_call_beside_reads(local, self._writer, call)
            if answer is None:
                raise MeshError(call.kind, "not for ourselves", peer)
            return answer
        call.sender = local.address
        call.sender_life = local.generation
        connection = await self._peers.connect(peer)
        reply: messages_pb2.StoreAnswer = unpack_message(
            await connection.call(pack_message(call), _CALL_TIMEOUT_SECONDS)
        )
        self.record_contact(peer)
        return reply
