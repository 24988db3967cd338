"""One connection between two of marblefold's own processes."""

import asyncio
import socket
import time
from typing import Protocol

from marblefold.errors import MeshError
from marblefold.inner_protocol.body_pipe import INITIAL_CREDIT_BYTES
from marblefold.inner_protocol.exchange import Exchange, apply_frame
from marblefold.inner_protocol.frames import Frame, FrameKind, FrameReader, pack_frame

__all__ = ["ConnectionOwner", "MAX_EXCHANGE_NUMBER", "PEER_KEEP_ALIVE_SECONDS", "PeerConnection"]

# A network partition sends no signal: the connection ends if bytes are not
# acknowledged for so long.
_UNHEARD_MILLISECONDS = 2000
# The largest number that a frame holds.
MAX_EXCHANGE_NUMBER = 0xFFFFFFFF
# Keep-alive seconds where many peers are connected: idle connections are probed
# rarely, since every node has one to every other and the probes grow with all of
# them.  Hops in flight are covered by pings, lost peers by the membership probes.
PEER_KEEP_ALIVE_SECONDS = 20


class ConnectionOwner(Protocol):
    """The callbacks of a connection to its owner."""

    def on_hop(self, exchange: "Exchange", payload: bytes) -> None: ...

    def on_call(self, connection: "PeerConnection", number: int, payload: bytes) -> None: ...

    def on_notification(self, connection: "PeerConnection", payload: bytes) -> None: ...

    def on_lost(self, connection: "PeerConnection") -> None: ...


class PeerConnection(asyncio.Protocol):
    """Multiplexes many exchanges, whatever they carry."""

    def __init__(self, owner: ConnectionOwner, peer: str = "", keep_alive_seconds: int = 1) -> None:
        self.peer = peer
        self._keep_alive_seconds = keep_alive_seconds
        self.is_open = False
        self.last_received_at = time.monotonic()
        self._pinged_at: float | None = None
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
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, self._keep_alive_seconds)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)

    def data_received(self, data: bytes) -> None:
        self.last_received_at = time.monotonic()
        try:
            for frame in self._reader.feed(data):
                self._take(frame)
        except ValueError:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_open = False
        error = MeshError("connection", str(exc or "closed"), self.peer)
        exchanges, self._exchanges = self._exchanges, {}
        for exchange in exchanges.values():
            exchange.fail(error)
        calls, self._calls = self._calls, {}
        for future in calls.values():
            if not future.done():
                future.set_exception(error)
        self.resume_writing()
        self._owner.on_lost(self)

    def pause_writing(self) -> None:
        self._drained = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    async def drain(self) -> None:
        """Waits while the write buffer is full."""
        if self._drained is not None:
            await asyncio.shield(self._drained)

    def send(self, kind: int, number: int, payload: bytes = b"") -> None:
        """Sends a frame; on a lost connection it is discarded."""
        transport = self._transport
        if self.is_open and transport is not None:
            transport.write(pack_frame(kind, number, payload))

    @property
    def is_idle(self) -> bool:
        """Whether no exchange or call is in progress."""
        return not self._exchanges and not self._calls

    @property
    def is_exhausted(self) -> bool:
        """Whether every exchange number has been used.

        A number is never reused, so a late frame of an abandoned exchange cannot reach
        another one.
        """
        return self._next_number >= MAX_EXCHANGE_NUMBER

    def open_exchange(self) -> Exchange:
        """Begins a hop to the peer; MeshError if that fails, and then nothing was sent."""
        if not self.is_open:
            raise MeshError("connect", "connection is closed", self.peer)
        # The guard grants credit for a body when it can receive it.
        exchange = Exchange(self, self._take_number(), 0)
        self._exchanges[exchange.number] = exchange
        return exchange

    def remove_exchange(self, number: int) -> None:
        """Removes an exchange that is over."""
        self._exchanges.pop(number, None)
        if self.is_exhausted and self.is_idle:
            self.close()

    def _take_number(self) -> int:
        if self.is_exhausted:
            raise MeshError("connect", "numbers are used up", self.peer)
        self._next_number += 1
        return self._next_number

    async def call(self, message: bytes, seconds: float) -> bytes:
        """Sends a message and returns the reply; MeshError if none comes within `seconds`."""
        if not self.is_open:
            raise MeshError("call", "connection is closed", self.peer)
        number = self._take_number()
        future = asyncio.get_running_loop().create_future()
        self._calls[number] = future
        self.send(FrameKind.CALL, number, message)
        try:
            async with asyncio.timeout(seconds):
                return await future
        except TimeoutError:
            raise MeshError("call", "no reply in time", self.peer) from None
        finally:
            self._calls.pop(number, None)

    def is_unresponsive(self, now: float, quiet: float, patience: float) -> bool:
        """Whether the peer is unresponsive; all times are in monotonic seconds.

        A peer with exchanges in progress that sent nothing for `quiet` seconds is pinged,
        and is unresponsive if nothing comes within `patience` seconds after that.
        """
        if self._pinged_at is not None and self.last_received_at > self._pinged_at:
            self._pinged_at = None
        if self._pinged_at is not None:
            return now - self._pinged_at > patience
        if self._exchanges and now - self.last_received_at > quiet:
            self._pinged_at = now
            self.send(FrameKind.PING, 0)
        return False

    def fail_repeatable(self, error: MeshError) -> None:
        """Fails the exchanges whose requests may be repeated elsewhere."""
        for exchange in list(self._exchanges.values()):
            if exchange.is_repeatable:
                exchange.fail(error)

    def close(self) -> None:
        """Aborts the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def _take(self, frame: Frame) -> None:
        kind, number, payload = frame
        if kind == FrameKind.HEAD:
            # No peer of ours begins two hops under one number.
            if number in self._exchanges:
                raise ValueError(f"a second hop with number {number}")
            hop = Exchange(self, number, INITIAL_CREDIT_BYTES)
            self._exchanges[number] = hop
            self._owner.on_hop(hop, payload)
        elif kind == FrameKind.PING:
            self.send(FrameKind.PONG, 0)
        elif kind == FrameKind.PONG:
            return
        elif kind == FrameKind.CALL:
            self._owner.on_call(self, number, payload)
        elif kind == FrameKind.NOTIFICATION:
            self._owner.on_notification(self, payload)
        elif kind == FrameKind.REPLY:
            future = self._calls.get(number)
            if future is not None and not future.done():
                future.set_result(payload)
        else:
            exchange = self._exchanges.get(number)
            # A frame after the end of its exchange is late, not an error.
            if exchange is not None:
                apply_frame(exchange, kind, payload)
