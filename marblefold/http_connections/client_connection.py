"""One connection from a client: requests in, answers out in their order.

The parser is aiohttp's.  Its own server answers pipelined requests one by
one; here repeatable ones behind each other run together, since a client
that sends several at once waits for them all.
"""

import asyncio
import time
from collections import deque
from collections.abc import Awaitable
from typing import Protocol

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import BadStatusLine, HttpProcessingError, LineTooLong
from aiohttp.http_parser import HttpRequestParser
from aiohttp.streams import StreamReader

from marblefold.errors import MeshError
from marblefold.http_connections.answer import Answer, own_answer, pack_head
from marblefold.http_connections.client_request import ClientRequest
from marblefold.http_connections.pipeline_slot import PipelineSlot
from marblefold.inner_protocol.body_pipe import BodyPipe
from marblefold.logs import log

__all__ = ["ClientConnection", "ConnectionServer"]

_PARSER_BUFFER = 128 * 1024
_MOST_TOGETHER = 8
_REPEATABLE = ("GET", "HEAD", "OPTIONS")


class ConnectionServer(Protocol):
    """What a connection needs of the server that accepted it."""

    is_leaving: bool
    header_bytes: int

    def on_connection_made(self, connection: "ClientConnection") -> None: ...

    def on_connection_lost(self, connection: "ClientConnection") -> None: ...

    def handle(self, request: ClientRequest) -> Awaitable[Answer]: ...

    def may_run_concurrently(self, request: ClientRequest) -> bool: ...


class ClientConnection(BaseProtocol):
    """Owns one accepted connection."""

    # Set from the start here; the base class leaves it optional.
    _parser: HttpRequestParser

    def __init__(self, keeper: ConnectionServer) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(loop)
        self._keeper = keeper
        self._parser = HttpRequestParser(
            self,
            loop,
            _PARSER_BUFFER,
            max_line_size=keeper.header_bytes,
            max_field_size=keeper.header_bytes,
        )
        self._places: deque[PipelineSlot] = deque()
        self._is_closing = False
        self._writing: asyncio.Task | None = None
        self._payload: StreamReader | None = None
        self.quiet_since = time.monotonic()
        # When the first bytes of a head came that is not whole yet.
        self.head_since: float | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is being served."""
        return not self._places and self._writing is None

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self._keeper.on_connection_made(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        self._is_closing = True
        if self._payload is not None:
            self._payload.set_exception(ConnectionResetError("client left"))
        # The client is gone: stop the work at the targets too.
        for place in self._places:
            place.drop()
        if self._writing is not None:
            self._writing.cancel()
        self._places.clear()
        self._keeper.on_connection_lost(self)

    def data_received(self, data: bytes) -> None:
        if self._is_closing:
            return
        self.quiet_since = time.monotonic()
        try:
            messages, _upgraded, _tail = self._parser.feed_data(data)
        except (HttpProcessingError, ValueError) as error:
            self._refuse_bytes(error)
            return
        for message, payload in messages:
            self._payload = payload
            size = sum(len(name) + len(value) + 4 for name, value in message.raw_headers)
            if size > self._keeper.header_bytes:
                self._refuse_bytes(LineTooLong("head", self._keeper.header_bytes))
                return
            self._places.append(
                PipelineSlot(
                    ClientRequest(message, payload, self.quiet_since, self._write_continue)
                )
            )
        if messages:
            self.head_since = None
            self._start_places()
        elif data and not self._places and self.head_since is None:
            self.head_since = self.quiet_since

    def refuse_slow_head(self) -> None:
        """Answers 408 to a head that took too long, and closes the connection."""
        self._append_answer(own_answer(408, "the head took too long", closes=True))

    def close_if_idle(self) -> bool:
        """Closes the connection unless a request is being served on it."""
        if not self.is_idle or self.head_since is not None:
            return False
        self._close()
        return True

    def abort(self) -> None:
        """Aborts the connection at once, without an answer."""
        self._is_closing = True
        if self.transport is not None:
            self.transport.abort()

    def _close(self) -> None:
        self._is_closing = True
        if self.transport is not None:
            self.transport.close()

    def _refuse_bytes(self, error: Exception) -> None:
        # What follows malformed bytes cannot be parsed, and a body in transfer
        # will not be complete.
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(ConnectionResetError("the body cannot be read"))
        is_long = isinstance(error, LineTooLong) and not isinstance(error, BadStatusLine)
        status = 431 if is_long else 400
        self._append_answer(own_answer(status, "the request cannot be read", closes=True))

    def _append_answer(self, answer: Answer) -> None:
        place = PipelineSlot(None)
        place.answer = answer
        self._places.append(place)
        self._flush()

    def _write_continue(self) -> None:
        if self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _start_places(self) -> None:
        together = 0
        for place in self._places:
            request = place.request
            if request is None:
                break
            is_repeatable = request.method in _REPEATABLE and not request.has_body
            # A request that may not be repeated runs alone and in order.
            if together and not (is_repeatable and self._keeper.may_run_concurrently(request)):
                break
            if place.task is None and place.answer is None:
                place.task = self._loop.create_task(self._serve(place, request))
            together += 1
            if not is_repeatable or together >= _MOST_TOGETHER:
                break

    async def _serve(self, place: PipelineSlot, request: ClientRequest) -> None:
        try:
            answer = await self._keeper.handle(request)
        except ConnectionError:
            # The body was truncated or is malformed: there is no valid request.
            answer = own_answer(400, "the body cannot be read", closes=True)
        except Exception as error:
            # It is unknown what was begun; only a reset makes no claim about it.
            log.error("request failed", attempt=request.attempt_id, error=repr(error))
            self.abort()
            return
        place.set_answer(answer)
        self._flush()

    def _flush(self) -> None:
        """Writes the answers that are next in order."""
        while self._places and self._writing is None and not self._is_closing:
            place = self._places[0]
            answer = place.answer
            if answer is None:
                break
            if answer.pipe is not None:
                self._writing = self._loop.create_task(
                    self._write_in_parts(place, answer, answer.pipe)
                )
                break
            closes = self._closes(place, answer)
            if self.transport is None:
                break
            self.transport.write(pack_head(answer, closes, False) + answer.body)
            self._finish(closes)
        if not self._is_closing:
            self._start_places()

    def _closes(self, place: PipelineSlot, answer: Answer) -> bool:
        request = place.request
        if request is None or answer.closes or request.closes:
            return True
        # A body not read to its end would be parsed as a request.
        if not request.is_body_complete:
            return True
        return self._keeper.is_leaving and len(self._places) == 1

    def _finish(self, closes: bool) -> None:
        self._places.popleft()
        self.quiet_since = time.monotonic()
        if closes:
            for place in self._places:
                place.drop()
            self._places.clear()
            self._close()

    async def _write_in_parts(self, place: PipelineSlot, answer: Answer, pipe: BodyPipe) -> None:
        request = place.request
        is_chunked = request is None or not request.is_http_1_0
        closes = self._closes(place, answer) or not is_chunked
        try:
            transport = self.transport
            if transport is None:
                return
            transport.write(pack_head(answer, closes, is_chunked))
            while chunk := await pipe.read():
                if is_chunked:
                    chunk = b"%x\r\n" % len(chunk) + chunk + b"\r\n"
                transport.write(chunk)
                await self._drain_helper()
            if is_chunked:
                transport.write(b"0\r\n\r\n")
        except (MeshError, ConnectionError):
            # An early end must never look complete: reset the connection.
            if self.transport is not None:
                self.transport.abort()
            return
        finally:
            self._writing = None
            if answer.release is not None:
                answer.release()
        self._finish(closes)
        self._flush()
