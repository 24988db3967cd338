"""One connection to a target, which carries one request at a time.

The parser is aiohttp's.  Its client is not used, because it retries requests by itself
when a reused connection fails; here only the request path may retry.
"""

import asyncio
import enum
import time
from collections.abc import Callable

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpResponseParser
from aiohttp.streams import StreamReader

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.http_connections.heads import find_header, max_header_count
from marblefold.http_connections.target_answer import (
    TargetAnswer,
    has_length,
    is_between_answers,
    reuse_seconds,
    says_not_executed,
)

__all__ = [
    "CONNECT_STEP",
    "ConnectionLostUnused",
    "ConnectionState",
    "TargetConnection",
]

# The step of errors that occur before anything is written to the target.
CONNECT_STEP = "connect to target"

_PARSER_BUFFER_BYTES = 256 * 1024
_MAX_HEAD_BYTES = 32768


class ConnectionState(enum.Enum):
    """What a connection to a target may be used for."""

    IDLE = "idle"
    BUSY = "busy"
    # Unsolicited bytes arrived: the request in progress may finish, but the connection
    # is not reused.
    POISONED = "poisoned"
    CLOSED = "closed"


class ConnectionLostUnused(MeshError):
    """The connection was lost before anything was written: the request was not executed."""


class TargetConnection(BaseProtocol):
    """Owns one connection to a target."""

    # Always set here; optional in the base class.
    _parser: HttpResponseParser

    def __init__(
        self,
        on_received: Callable[[], None] = lambda: None,
        on_lost: Callable[["TargetConnection"], None] = lambda _connection: None,
    ) -> None:
        """`on_received` is called whenever bytes arrive from the target, `on_lost` at the end."""
        loop = asyncio.get_running_loop()
        super().__init__(loop)
        self._on_received = on_received
        self._on_lost = on_lost
        self._parser = HttpResponseParser(
            self,
            loop,
            _PARSER_BUFFER_BYTES,
            payload_exception=ConnectionError,
            auto_decompress=False,
            max_line_size=_MAX_HEAD_BYTES,
            max_field_size=_MAX_HEAD_BYTES,
            max_headers=max_header_count(_MAX_HEAD_BYTES),
            read_until_eof=True,
        )
        self.state = ConnectionState.IDLE
        self.usable_until = time.monotonic() + 1.0
        # When it last became idle (monotonic seconds).
        self.idle_since = time.monotonic()
        # For how many seconds it was idle before the current request.
        self.idle_seconds_before = 0.0
        # Whether bytes arrived since the current request was sent.
        self.has_received_bytes = False
        # Whether it carried a request before the current one.
        self._is_reused = False
        # Whether the current answer has no length and ends with the connection.
        self._is_unframed = False
        self._attempt_id: bytes | None = None
        self._waiter: asyncio.Future[TargetAnswer] | None = None
        self._payload: StreamReader | None = None

    def change_state(self, state: ConnectionState) -> None:
        """Changes the state; a closed connection stays closed."""
        if self.state is ConnectionState.CLOSED:
            return
        # A poisoned connection can only be closed.
        if self.state is ConnectionState.POISONED and state is not ConnectionState.CLOSED:
            return
        self.state = state

    async def send_head(self, head: bytes, attempt_id: bytes | None) -> None:
        """Sends the head of a request, and the part of the body that `head` includes.

        Raises ConnectionLostUnused if no byte of the request was written, and
        ConnectionError if the connection is lost meanwhile.
        """
        if self.transport is None:
            raise ConnectionLostUnused(CONNECT_STEP, "closed before it was used")
        self.change_state(ConnectionState.BUSY)
        self.idle_seconds_before = time.monotonic() - self.idle_since
        self.has_received_bytes = False
        self._attempt_id = attempt_id
        self._waiter = self._loop.create_future()
        self.transport.write(head)
        if self._paused:
            await self._drain_helper()

    async def send(self, chunk: bytes) -> None:
        """Sends a part of the body.

        Raises MeshError or ConnectionError if the connection is lost.
        """
        if self.transport is None:
            raise MeshError("target", "closed while the body was sent")
        self.transport.write(chunk)
        if self._paused:
            await self._drain_helper()

    async def answer(self) -> TargetAnswer:
        """Returns the head of the answer to the request; raises MeshError if none comes."""
        waiter = self._waiter
        if waiter is None:
            raise TypeError("no request was sent on this connection")
        return await waiter

    def finish(self) -> bool:
        """Ends an exchange whose answer was read completely.

        Returns whether the connection may be reused; closes it if not.
        """
        self._waiter = None
        self._payload = None
        self._is_reused = True
        self.idle_since = time.monotonic()
        is_reusable = self.state is ConnectionState.BUSY and self.idle_since < self.usable_until
        if is_reusable and is_between_answers(self._parser):
            self.change_state(ConnectionState.IDLE)
            return True
        self.close()
        return False

    def close(self) -> None:
        """Aborts the connection; a target that is executing a request then cancels it."""
        self.change_state(ConnectionState.CLOSED)
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self._on_received()
        self.has_received_bytes = True
        if self._waiter is None and data:
            # No request is in progress: even a partial answer left in the parser would
            # be taken for the start of the next answer.
            self._poison()
            return
        try:
            messages, _upgraded, _tail = self._parser.feed_data(data)
        except (HttpProcessingError, ValueError) as error:
            self._fail(MeshError("target", f"bytes that are no answer: {type(error).__name__}"))
            return
        for message, payload in messages:
            self._handle_message(message, payload)

    def eof_received(self) -> None:
        """Completes an answer without a length: the target closed the connection cleanly."""
        if not self._is_unframed:
            return
        try:
            self._parser.feed_eof()
        except (HttpProcessingError, ValueError) as error:
            self._fail(MeshError("target", f"answer cut off: {type(error).__name__}"))

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        self.change_state(ConnectionState.CLOSED)
        self._fail(MeshError("target", f"closed: {exc or 'no error'}"))
        self._on_lost(self)

    def _handle_message(self, message, payload) -> None:
        waiter = self._waiter
        if waiter is None or waiter.done():
            # An unsolicited answer.
            self._poison()
            return
        if message.code < 200:
            return
        headers = message.raw_headers
        is_not_executed = says_not_executed(message)
        if not self._is_answer_of_request(headers, is_not_executed):
            return
        self.usable_until = time.monotonic() + reuse_seconds(message)
        self._is_unframed = not has_length(message)
        self._payload = payload
        waiter.set_result(
            TargetAnswer(message.code, message.reason, headers, payload, is_not_executed)
        )

    def _is_answer_of_request(self, headers, is_not_executed: bool) -> bool:
        """Whether the answer belongs to the current request; other answers are ignored."""
        answered_id = find_header(headers, wire_names.ATTEMPT_ID)
        if self._attempt_id is None or answered_id == self._attempt_id:
            return True
        # Only a refusal may lack the attempt id, and only as the first answer on its
        # connection: on a reused one it may belong to an earlier request.
        if answered_id is None and is_not_executed and not self._is_reused:
            return True
        self._poison()
        if answered_id is None:
            self._fail(MeshError("target", "an answer without an id"))
        # An answer with another id belongs to another request; the answer to the
        # current one may follow it.
        return False

    def _poison(self) -> None:
        self.change_state(ConnectionState.POISONED)
        # No request is in progress, so it can be closed at once.
        if self._waiter is None:
            self.close()

    def _fail(self, error: MeshError) -> None:
        self.close()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(error)
            self._waiter.exception()
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(ConnectionResetError("answer aborted"))
