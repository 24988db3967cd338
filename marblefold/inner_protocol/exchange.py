"""Sends and receives the frames of one hop on a connection between peers."""

import asyncio
import struct
from collections.abc import Callable
from typing import Protocol

from marblefold.errors import MeshError
from marblefold.inner_protocol.body_pipe import BodyPipe
from marblefold.inner_protocol.frames import FrameKind

__all__ = ["Exchange", "FrameSender", "apply_frame"]

_CREDIT_PAYLOAD = struct.Struct("!I")
_MIN_CHUNK_BYTES, _MAX_CHUNK_BYTES = 4 * 1024, 64 * 1024
# A chunk holds at most this part of the peer's window: credit comes back with each chunk that
# has arrived, so that the next ones are sent while others are on their way.
_CHUNKS_PER_WINDOW = 4


class FrameSender(Protocol):
    """The connection operations that an exchange uses."""

    peer: str
    # Whether both ends are on this machine.
    is_local: bool

    def send(self, kind: int, number: int, payload: bytes = b"") -> None: ...

    async def drain(self) -> None: ...

    def remove_exchange(self, number: int) -> None: ...


class Exchange:
    """One hop on a connection, at either end.

    Numbers are never reused on a connection, so a late frame can only belong to an
    exchange that is over.
    """

    def __init__(self, connection: FrameSender, number: int, credit: int) -> None:
        self.connection = connection
        self.number = number
        self.answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.incoming = BodyPipe(self.grant_credit)
        self.on_cancel: Callable[[], object] | None = None
        self._credit = credit
        # The most bytes of the body that the peer lets be on their way.
        self._window = credit
        self._credit_waiter: asyncio.Future | None = None
        self.error: MeshError | None = None
        # Whether the request may be retried at another peer if this one is unresponsive.
        self.is_repeatable = False
        self._answer_waiter: asyncio.Future | None = None

    @property
    def is_local(self) -> bool:
        """Whether the hop comes from this machine, so that its body needs no link."""
        return self.connection.is_local

    def fail(self, error: MeshError) -> None:
        """Fails the exchange because its connection was lost or its peer reset it."""
        self.error = error
        if not self.answer.done():
            self.answer.set_exception(error)
            # Marks the exception as retrieved: there may be no waiter any more.
            self.answer.exception()
        self.incoming.fail(error)
        self._wake_sender()
        if self.on_cancel is not None:
            self.on_cancel()

    async def answer_or_silence(self) -> bytes | None:
        """Returns the answer, or None once the peer is found to be unresponsive before it.

        Raises the MeshError of an exchange that failed.
        """
        self._answer_waiter = asyncio.get_running_loop().create_future()
        self.answer.add_done_callback(lambda _answer: self.note_silence())
        await self._answer_waiter
        return self.answer.result() if self.answer.done() else None

    def note_silence(self) -> None:
        """Ends the wait in `answer_or_silence`."""
        if self._answer_waiter is not None and not self._answer_waiter.done():
            self._answer_waiter.set_result(None)

    def add_credit(self, size: int) -> None:
        """Adds the credit, in bytes of the body, that the peer granted."""
        self._credit += size
        self._window = max(self._window, self._credit)
        self._wake_sender()

    async def send_body(self, chunk: bytes) -> None:
        """Sends part of the body within the peer's credit; MeshError if the exchange failed."""
        remaining = memoryview(chunk)
        while remaining:
            while self._credit <= 0 and self.error is None:
                self._credit_waiter = asyncio.get_running_loop().create_future()
                await self._credit_waiter
            if self.error is not None:
                raise self.error
            # Never exceeds the credit: the peer sizes it for its link, where any
            # excess delays every other hop.
            part = bytes(remaining[: min(self._max_chunk_bytes, self._credit)])
            remaining = remaining[len(part) :]
            self._credit -= len(part)
            self.connection.send(FrameKind.BODY, self.number, part)
            await self.connection.drain()

    @property
    def _max_chunk_bytes(self) -> int:
        return min(_MAX_CHUNK_BYTES, max(_MIN_CHUNK_BYTES, self._window // _CHUNKS_PER_WINDOW))

    def send(self, kind: FrameKind, payload: bytes = b"") -> None:
        """Sends a frame of this exchange."""
        self.connection.send(kind, self.number, payload)

    def close(self) -> None:
        """Ends the exchange at this end."""
        self.connection.remove_exchange(self.number)

    def cancel(self) -> None:
        """Cancels the hop at the peer and ends the exchange at this end."""
        if not self.incoming.is_ended:
            self.send(FrameKind.CANCEL)
        self.close()

    def grant_credit(self, size: int) -> None:
        """Grants the peer credit for `size` more bytes of the body."""
        self.connection.send(FrameKind.CREDIT, self.number, _CREDIT_PAYLOAD.pack(size))

    def _wake_sender(self) -> None:
        if self._credit_waiter is not None and not self._credit_waiter.done():
            self._credit_waiter.set_result(None)


def apply_frame(exchange: Exchange, kind: int, payload: bytes) -> None:
    """Applies a received frame to its exchange.

    Raises ValueError if the payload of a CREDIT frame is malformed.
    """
    if kind == FrameKind.ANSWER:
        if not exchange.answer.done():
            exchange.answer.set_result(payload)
    elif kind == FrameKind.BODY:
        exchange.incoming.feed(payload)
    elif kind == FrameKind.BODY_END:
        exchange.incoming.finish()
    elif kind == FrameKind.CREDIT:
        if len(payload) != _CREDIT_PAYLOAD.size:
            raise ValueError(f"credit of {len(payload)} bytes")
        exchange.add_credit(_CREDIT_PAYLOAD.unpack(payload)[0])
    elif kind == FrameKind.RESET:
        exchange.fail(MeshError("answer", "reset by peer", exchange.connection.peer))
    elif kind == FrameKind.CANCEL and exchange.on_cancel is not None:
        exchange.on_cancel()
