"""A connection between two marblefold processes."""

import asyncio
import socket
import time
import zlib
from typing import Protocol

from google.protobuf.message import DecodeError

from marblefold.errors import MeshError
from marblefold.inner_protocol.body_pipe import INITIAL_CREDIT_BYTES
from marblefold.inner_protocol.exchange import Exchange, apply_frame
from marblefold.inner_protocol.frames import Frame, FrameKind, FrameReader, pack_frame
from marblefold.inner_protocol.messages import UnknownMessageType
from marblefold.logs import log
from marblefold.undelivered_bytes import count_undelivered_bytes

__all__ = ["ConnectionOwner", "MAX_EXCHANGE_NUMBER", "PEER_KEEP_ALIVE_SECONDS", "PeerConnection"]

# A network partition is not signalled: the connection is closed if sent bytes stay
# unacknowledged for this long.
_USER_TIMEOUT_MILLISECONDS = 2000
# The largest exchange number that a frame can hold.
MAX_EXCHANGE_NUMBER = 0xFFFFFFFF
# Keep-alive interval where many peers are connected.  Every node has a connection to
# every other one, so the number of probes grows with the number of node pairs and
# idle connections are probed rarely.  Pings cover hops in flight, and membership
# probes detect lost peers.
PEER_KEEP_ALIVE_SECONDS = 20
_MALFORMED_ERRORS = (ValueError, zlib.error, DecodeError)


class ConnectionOwner(Protocol):
    """Callbacks that a connection invokes on its owner."""

    def on_hop(self, exchange: "Exchange", payload: bytes) -> None: ...

    def on_call(self, connection: "PeerConnection", number: int, payload: bytes) -> None: ...

    def on_notification(self, connection: "PeerConnection", payload: bytes) -> None: ...

    def on_lost(self, connection: "PeerConnection") -> None: ...


class PeerConnection(asyncio.Protocol):
    """Multiplexes exchanges, calls and notifications on one connection."""

    def __init__(self, owner: ConnectionOwner, peer: str = "", keep_alive_seconds: int = 1) -> None:
        self.peer = peer
        self._keep_alive_seconds = keep_alive_seconds
        self.is_open = False
        self.is_local = False
        self.last_received_at = time.monotonic()
        self._pinged_at: float | None = None
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._reader = FrameReader()
        self._exchanges: dict[int, Exchange] = {}
        self._calls: dict[int, asyncio.Future] = {}
        self._next_number = 0
        self._drained: asyncio.Future | None = None
        self._has_logged_unknown = False

    def connection_made(self, transport) -> None:
        self._transport = transport
        self.is_open = True
        sock = transport.get_extra_info("socket")
        self.is_local = _host_of(transport, "peername") == _host_of(transport, "sockname")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MILLISECONDS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, self._keep_alive_seconds)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)

    def data_received(self, data: bytes) -> None:
        self.last_received_at = time.monotonic()
        try:
            for frame in self._reader.feed(data):
                self._handle_frame_if_known(frame)
        except _MALFORMED_ERRORS as error:
            log.warning("malformed frame", peer=self.peer, reason=repr(error))
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
        """Sends a frame; discards it if the connection is lost."""
        transport = self._transport
        if self.is_open and transport is not None:
            transport.write(pack_frame(kind, number, payload))

    @property
    def undelivered_bytes(self) -> int:
        """How many bytes are written and not yet acknowledged by the peer."""
        transport = self._transport
        if transport is None or not self.is_open:
            return 0
        return count_undelivered_bytes(transport)

    @property
    def is_idle(self) -> bool:
        """Whether no exchange or call is in progress."""
        return not self._exchanges and not self._calls

    @property
    def is_exhausted(self) -> bool:
        """Whether every exchange number has been used.

        Numbers are never reused, so a late frame of a cancelled exchange cannot reach
        another one.
        """
        return self._next_number >= MAX_EXCHANGE_NUMBER

    def open_exchange(self) -> Exchange:
        """Starts a hop to the peer; raises MeshError on failure, and then nothing was sent."""
        if not self.is_open:
            raise MeshError("connect", "connection is closed", self.peer)
        # The guard grants credit for the body when it can receive it.
        exchange = Exchange(self, self._allocate_number(), 0)
        self._exchanges[exchange.number] = exchange
        return exchange

    def remove_exchange(self, number: int) -> None:
        """Removes an exchange that is over."""
        self._exchanges.pop(number, None)
        if self.is_exhausted and self.is_idle:
            self.close()

    def _allocate_number(self) -> int:
        if self.is_exhausted:
            raise MeshError("connect", "numbers are used up", self.peer)
        self._next_number += 1
        return self._next_number

    async def call(self, message: bytes, seconds: float) -> bytes:
        """Sends a message and returns the reply; MeshError if none comes within `seconds`."""
        if not self.is_open:
            raise MeshError("call", "connection is closed", self.peer)
        number = self._allocate_number()
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

    def is_unresponsive(
        self, now: float, quiet_seconds: float, ping_timeout_seconds: float
    ) -> bool:
        """Whether the peer is unresponsive; pings it if necessary.  `now` is monotonic seconds.

        Pings a peer with exchanges in progress that has sent nothing for `quiet_seconds`;
        the peer is unresponsive if nothing arrives within `ping_timeout_seconds` after that.
        """
        if self._pinged_at is not None and self.last_received_at > self._pinged_at:
            self._pinged_at = None
        if self._pinged_at is not None:
            return now - self._pinged_at > ping_timeout_seconds
        if self._exchanges and now - self.last_received_at > quiet_seconds:
            self._pinged_at = now
            self.send(FrameKind.PING, 0)
        return False

    def note_silence(self) -> None:
        """Tells the exchanges whose requests may be retried elsewhere of the peer's silence."""
        for exchange in list(self._exchanges.values()):
            if exchange.is_repeatable:
                exchange.note_silence()

    def close(self) -> None:
        """Aborts the connection immediately."""
        if self._transport is not None:
            self._transport.abort()

    def _handle_frame_if_known(self, frame: Frame) -> None:
        """Passes over a message of a newer version, which this one can do without."""
        try:
            self._handle_frame(frame)
        except UnknownMessageType as error:
            if not self._has_logged_unknown:
                self._has_logged_unknown = True
                log.info("message of a newer version", peer=self.peer, reason=str(error))

    def _handle_frame(self, frame: Frame) -> None:
        kind, number, payload = frame
        if kind == FrameKind.HEAD:
            # marblefold programs never start two hops under one number.
            if number in self._exchanges:
                raise ValueError(f"exchange number {number} is already in use")
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


def _host_of(transport, name: str) -> str:
    """Returns the host of one end of the connection (`peername` or `sockname`)."""
    address = transport.get_extra_info(name)
    return address[0] if address else name
