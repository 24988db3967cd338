"""One stream between two of marblefold's own processes."""

import asyncio
import socket
import struct
from typing import Callable, Protocol

from marblefold.breakdowns import Breakdown
from marblefold.inner_protocol.body_pipe import FIRST_CREDIT, BodyPipe
from marblefold.inner_protocol.frames import Frame, FrameKind, FrameReader, pack_frame

__all__ = ["Exchange", "MateStream", "StreamOwner"]

_CREDIT = struct.Struct("!I")
# A cut says nothing: bytes not acknowledged for so long end the stream.
_UNHEARD_MILLISECONDS = 2000
_CHUNK = 64 * 1024


class StreamOwner(Protocol):
    """What the owner of a stream is told."""

    def on_hop(self, exchange: "Exchange", payload: bytes) -> None: ...

    def on_call(self, stream: "MateStream", number: int, payload: bytes) -> None: ...

    def on_tell(self, stream: "MateStream", payload: bytes) -> None: ...

    def on_lost(self, stream: "MateStream") -> None: ...


class Exchange:
    """One hop on a stream, at either end."""

    def __init__(self, stream: "MateStream", number: int) -> None:
        self.stream = stream
        self.number = number
        self.answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.incoming = BodyPipe(self._grant)
        self.on_cancel: Callable[[], None] | None = None
        self._credit = FIRST_CREDIT
        self._credit_waiter: asyncio.Future | None = None
        self.broken: Breakdown | None = None

    def break_off(self, breakdown: Breakdown) -> None:
        """The stream below this exchange is gone, or its mate reset it."""
        self.broken = breakdown
        if not self.answer.done():
            self.answer.set_exception(breakdown)
            # Nobody may be waiting any more; the loop need not complain.
            self.answer.exception()
        self.incoming.break_off(breakdown)
        self._wake_sender()
        if self.on_cancel is not None:
            self.on_cancel()

    def take_credit(self, size: int) -> None:
        """The mate lets us send more of the body."""
        self._credit += size
        self._wake_sender()

    async def send_body(self, chunk: bytes) -> None:
        """Sends a part of the body, within the mate's credit."""
        for place in range(0, len(chunk), _CHUNK):
            part = chunk[place:place + _CHUNK]
            while self._credit <= 0 and self.broken is None:
                self._credit_waiter = asyncio.get_running_loop().create_future()
                await self._credit_waiter
            if self.broken is not None:
                raise self.broken
            self._credit -= len(part)
            self.stream.send(FrameKind.BODY, self.number, part)
            await self.stream.drain()

    def send(self, kind: FrameKind, payload: bytes = b"") -> None:
        """Sends a frame of this exchange."""
        self.stream.send(kind, self.number, payload)

    def close(self) -> None:
        """The exchange is over at this end."""
        self.stream.forget(self.number)

    def _grant(self, size: int) -> None:
        self.stream.send(FrameKind.CREDIT, self.number, _CREDIT.pack(size))

    def _wake_sender(self) -> None:
        if self._credit_waiter is not None and not self._credit_waiter.done():
            self._credit_waiter.set_result(None)


class MateStream(asyncio.Protocol):
    """Carries many exchanges at once; knows nothing of what they are about."""

    def __init__(self, owner: StreamOwner, mate: str = "") -> None:
        self.mate = mate
        self.is_open = False
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._reader = FrameReader()
        self._exchanges: dict[int, Exchange] = {}
        self._calls: dict[int, asyncio.Future] = {}
        self._next_number = 0
        self._drained: asyncio.Future | None = None

    def connection_made(self, transport) -> None:
        self._transport = transport
        self.is_open = True
        handle = transport.get_extra_info("socket")
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNHEARD_MILLISECONDS)
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)

    def data_received(self, data: bytes) -> None:
        try:
            for frame in self._reader.feed(data):
                self._take(frame)
        except ValueError:
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.is_open = False
        breakdown = Breakdown("stream", str(error or "closed"), self.mate)
        exchanges, self._exchanges = self._exchanges, {}
        for exchange in exchanges.values():
            exchange.break_off(breakdown)
        calls, self._calls = self._calls, {}
        for future in calls.values():
            if not future.done():
                future.set_exception(breakdown)
        self.resume_writing()
        self._owner.on_lost(self)

    def pause_writing(self) -> None:
        self._drained = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    async def drain(self) -> None:
        """Waits while the stream holds more than it can send."""
        if self._drained is not None:
            await asyncio.shield(self._drained)

    def send(self, kind: int, number: int, payload: bytes = b"") -> None:
        """Sends a frame; on a lost stream it goes nowhere."""
        if self.is_open:
            self._transport.write(pack_frame(kind, number, payload))

    def open_exchange(self) -> Exchange:
        """Begins a hop toward the mate."""
        self._next_number += 1
        exchange = Exchange(self, self._next_number)
        self._exchanges[exchange.number] = exchange
        return exchange

    def forget(self, number: int) -> None:
        """Drops an exchange that is over."""
        self._exchanges.pop(number, None)

    async def call(self, message: bytes, seconds: float) -> bytes:
        """Sends a message and waits for the reply, or a Breakdown."""
        if not self.is_open:
            raise Breakdown("call", "stream is closed", self.mate)
        self._next_number += 1
        number = self._next_number
        future = asyncio.get_running_loop().create_future()
        self._calls[number] = future
        self.send(FrameKind.CALL, number, message)
        try:
            async with asyncio.timeout(seconds):
                return await future
        except TimeoutError:
            raise Breakdown("call", "no reply in time", self.mate) from None
        finally:
            self._calls.pop(number, None)

    def close(self) -> None:
        """Ends the stream at once."""
        if self._transport is not None:
            self._transport.abort()

    def _take(self, frame: Frame) -> None:
        kind, number, payload = frame
        if kind == FrameKind.HEAD:
            exchange = Exchange(self, number)
            self._exchanges[number] = exchange
            self._owner.on_hop(exchange, payload)
        elif kind == FrameKind.CALL:
            self._owner.on_call(self, number, payload)
        elif kind == FrameKind.TELL:
            self._owner.on_tell(self, payload)
        elif kind == FrameKind.REPLY:
            future = self._calls.get(number)
            if future is not None and not future.done():
                future.set_result(payload)
        else:
            exchange = self._exchanges.get(number)
            # A frame behind the end of its exchange is late, not wrong.
            if exchange is not None:
                _take_into(exchange, kind, payload)


def _take_into(exchange: Exchange, kind: int, payload: bytes) -> None:
    if kind == FrameKind.ANSWER:
        if not exchange.answer.done():
            exchange.answer.set_result(payload)
    elif kind == FrameKind.BODY:
        exchange.incoming.feed(payload)
    elif kind == FrameKind.BODY_END:
        exchange.incoming.finish()
    elif kind == FrameKind.CREDIT:
        exchange.take_credit(_CREDIT.unpack(payload)[0])
    elif kind == FrameKind.RESET:
        exchange.break_off(Breakdown("answer", "reset by mate", exchange.stream.mate))
    elif kind == FrameKind.CANCEL and exchange.on_cancel is not None:
        exchange.on_cancel()
