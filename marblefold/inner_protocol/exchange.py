"""One hop on a connection between peers, at either end."""

import asyncio
import struct
from collections.abc import Callable
from typing import Protocol

from marblefold.errors import MeshError
from marblefold.inner_protocol.body_pipe import BodyPipe
from marblefold.inner_protocol.frames import FrameKind

__all__ = ["Exchange", "FrameCarrier", "apply_frame"]

_CREDIT = struct.Struct("!I")
_CHUNK = 64 * 1024


class FrameCarrier(Protocol):
    """What an exchange needs of the connection that carries it."""

    peer: str

    def send(self, kind: int, number: int, payload: bytes = b"") -> None: ...

    async def drain(self) -> None: ...

    def remove_exchange(self, number: int) -> None: ...


class Exchange:
    """One hop on a connection, at either end.

    Its number is never reused on the connection, so a late frame can only belong to
    an exchange that is over.
    """

    def __init__(self, connection: FrameCarrier, number: int, credit: int) -> None:
        self.connection = connection
        self.number = number
        self.answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.incoming = BodyPipe(self.grant_credit)
        self.on_cancel: Callable[[], object] | None = None
        self._credit = credit
        self._credit_waiter: asyncio.Future | None = None
        self.broken: MeshError | None = None
        # Whether the request may be repeated elsewhere if this peer is unresponsive.
        self.is_repeatable = False

    def fail(self, error: MeshError) -> None:
        """Fails the exchange: its connection was lost, or its peer reset it."""
        self.broken = error
        if not self.answer.done():
            self.answer.set_exception(error)
            # Nobody may be waiting any more: mark the exception as retrieved.
            self.answer.exception()
        self.incoming.fail(error)
        self._wake_sender()
        if self.on_cancel is not None:
            self.on_cancel()

    def add_credit(self, size: int) -> None:
        """The peer grants credit for more bytes of the body."""
        self._credit += size
        self._wake_sender()

    async def send_body(self, chunk: bytes) -> None:
        """Sends a part of the body within the peer's credit; MeshError if the exchange failed."""
        rest = memoryview(chunk)
        while rest:
            while self._credit <= 0 and self.broken is None:
                self._credit_waiter = asyncio.get_running_loop().create_future()
                await self._credit_waiter
            if self.broken is not None:
                raise self.broken
            # Never beyond the credit: the peer sizes it by its link, where any
            # excess delays every other hop.
            part = bytes(rest[: min(_CHUNK, self._credit)])
            rest = rest[len(part) :]
            self._credit -= len(part)
            self.connection.send(FrameKind.BODY, self.number, part)
            await self.connection.drain()

    def send(self, kind: FrameKind, payload: bytes = b"") -> None:
        """Sends a frame of this exchange."""
        self.connection.send(kind, self.number, payload)

    def close(self) -> None:
        """The exchange is over at this end."""
        self.connection.remove_exchange(self.number)

    def cancel(self) -> None:
        """The sender waits no longer: cancels the hop at the peer."""
        if not self.incoming.is_ended:
            self.send(FrameKind.CANCEL)
        self.close()

    def grant_credit(self, size: int) -> None:
        """Grants the peer credit for `size` more bytes of the body."""
        self.connection.send(FrameKind.CREDIT, self.number, _CREDIT.pack(size))

    def _wake_sender(self) -> None:
        if self._credit_waiter is not None and not self._credit_waiter.done():
            self._credit_waiter.set_result(None)


def apply_frame(exchange: Exchange, kind: int, payload: bytes) -> None:
    """Applies a received frame to its exchange.

    Raises struct.error if the payload of a CREDIT frame is malformed.
    """
    if kind == FrameKind.ANSWER:
        if not exchange.answer.done():
            exchange.answer.set_result(payload)
    elif kind == FrameKind.BODY:
        exchange.incoming.feed(payload)
    elif kind == FrameKind.BODY_END:
        exchange.incoming.finish()
    elif kind == FrameKind.CREDIT:
        exchange.add_credit(_CREDIT.unpack(payload)[0])
    elif kind == FrameKind.RESET:
        exchange.fail(MeshError("answer", "reset by peer", exchange.connection.peer))
    elif kind == FrameKind.CANCEL and exchange.on_cancel is not None:
        exchange.on_cancel()
