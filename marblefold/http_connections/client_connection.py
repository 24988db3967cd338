"""One connection from a client; its requests are answered in order.

The parser is aiohttp's.  aiohttp's own server runs pipelined requests one by one; here
consecutive repeatable ones run concurrently, since a client that pipelines requests
waits for all of them.
"""

import asyncio
import time
from collections import deque

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong
from aiohttp.http_parser import HttpRequestParser
from aiohttp.streams import StreamReader

from marblefold.http_connections.answer import Answer, own_answer, pack_head
from marblefold.http_connections.answer_writing import StreamedAnswer
from marblefold.http_connections.client_request import ClientRequest
from marblefold.http_connections.connection_server import ConnectionServer
from marblefold.http_connections.head_limit import HeadLimit, refuse_malformed
from marblefold.http_connections.lingering_close import QUIET_SECONDS, LingeringClose
from marblefold.http_connections.pipeline_slot import PipelineSlot, find_startable
from marblefold.http_connections.request_parser import make_request_parser
from marblefold.inner_protocol.body_pipe import BodyPipe
from marblefold.logs import log
from marblefold.undelivered_bytes import count_undelivered_bytes

__all__ = ["ClientConnection"]


class ClientConnection(BaseProtocol):
    """Reads requests from one accepted connection and writes their answers."""

    # Always set here; optional in the base class.
    _parser: HttpRequestParser

    def __init__(self, server: ConnectionServer) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(loop)
        self._server = server
        self._parser = make_request_parser(self, loop)
        self._head_limit = HeadLimit()
        self._slots: deque[PipelineSlot] = deque()
        self._is_closing = False
        self._linger: LingeringClose | None = None
        self._write_task: asyncio.Task | None = None
        self._payload: StreamReader | None = None
        self.last_activity_at = time.monotonic()
        # When the first bytes of a still incomplete head arrived (monotonic seconds).
        self.partial_head_since: float | None = None

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and no request is being served on it."""
        return not self._is_closing and not self._slots and self._write_task is None

    @property
    def is_settled(self) -> bool:
        """Whether this process may end now without an answer on this connection being cut."""
        if self.transport is None:
            return True
        return self.is_idle and not self.transport.get_write_buffer_size()

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self._server.on_connection_made(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        self._is_closing = True
        if self._linger is not None:
            self._linger.cancel()
        if self._payload is not None:
            self._payload.set_exception(ConnectionResetError("client left"))
        # The client has disconnected: cancel the work at the targets too.
        for slot in self._slots:
            slot.cancel()
        if self._write_task is not None:
            self._write_task.cancel()
        self._slots.clear()
        self._server.on_connection_lost(self)

    def data_received(self, data: bytes) -> None:
        if self._is_closing:
            if self._linger is not None:
                self._linger.note_received()
            return
        self.last_activity_at, limit = time.monotonic(), self._server.header_bytes
        self._head_limit.note_received(limit)
        try:
            messages, _upgraded, _tail = self._parser.feed_data(data)
        except (HttpProcessingError, ValueError) as error:
            self._refuse_malformed(error)
            return
        for message, payload in messages:
            self._payload = payload
            if not self._head_limit.allows(message, limit):
                self._refuse_malformed(LineTooLong("head", limit))
                return
            self._slots.append(
                PipelineSlot(
                    ClientRequest(message, payload, self.last_activity_at, self._write_continue)
                )
            )
        is_in_body = self._payload is not None and not self._payload.is_eof()
        self._head_limit.note_parsed(len(data), bool(messages), is_in_body)
        if not self._head_limit.allows_partial(limit):
            self._refuse_malformed(LineTooLong("head", limit))
            return
        if messages:
            self.partial_head_since = None
            self._start_requests()
        elif data and not self._slots and self.partial_head_since is None:
            self.partial_head_since = self.last_activity_at

    def refuse_slow_head(self) -> None:
        """Answers 408 to a head that did not arrive in time, and closes the connection."""
        self._append_answer(own_answer(408, "the head took too long", closes=True))

    def close_if_idle(self) -> bool:
        """Closes the connection unless a request is being served or received on it.

        Returns whether it was closed.
        """
        if not self.is_idle or self.partial_head_since is not None:
            return False
        self._close()
        return True

    def close_if_delivered(self) -> bool:
        """Closes an idle connection at once if its client has had the last answer for a while.

        Returns whether it was closed.
        """
        is_quiet = time.monotonic() - self.last_activity_at > QUIET_SECONDS
        if self.transport is None or not (self.is_idle and is_quiet):
            return False
        if self.partial_head_since is not None or count_undelivered_bytes(self.transport):
            return False
        self._is_closing = True
        self.transport.close()
        return True

    def abort(self) -> None:
        """Resets the connection at once, without an answer."""
        self._is_closing = True
        if self.transport is not None:
            self.transport.abort()

    def _close(self) -> None:
        self._is_closing = True
        if self.transport is not None:
            # Reading may be paused for a body that nobody reads any more.
            self.resume_reading()
            self._linger = LingeringClose(self.transport, self._loop)

    def _refuse_malformed(self, error: Exception) -> None:
        # Nothing after malformed bytes can be parsed, so a body in transfer stays
        # incomplete.
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(ConnectionResetError("the body cannot be read"))
        self._append_answer(refuse_malformed(error))

    def _append_answer(self, answer: Answer) -> None:
        slot = PipelineSlot(None)
        slot.answer = answer
        self._slots.append(slot)
        self._flush()

    def _write_continue(self) -> None:
        if self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _start_requests(self) -> None:
        for slot, request in find_startable(self._slots, self._server.may_run_concurrently):
            slot.task = self._loop.create_task(self._serve(slot, request))

    async def _serve(self, slot: PipelineSlot, request: ClientRequest) -> None:
        try:
            answer = await self._server.handle(request)
        except ConnectionError:
            # The body is truncated or malformed, so the request is invalid.
            answer = own_answer(400, "the body cannot be read", closes=True)
        except Exception as error:
            # The request may or may not have been executed, and 502 claims neither. The other
            # requests on the connection go on.
            log.error("request failed", attempt=request.attempt_id, error=repr(error))
            answer = own_answer(502, "an error of this node", request.attempt_id)
        slot.set_answer(answer)
        self._flush()

    def _flush(self) -> None:
        """Writes the answers that are next in order, and starts the requests behind them."""
        while self._slots and self._write_task is None and not self._is_closing:
            slot = self._slots[0]
            answer = slot.answer
            if answer is None:
                break
            if answer.pipe is not None:
                self._write_task = self._loop.create_task(
                    self._write_streamed(slot, answer, answer.pipe)
                )
                break
            closes = self._must_close(slot, answer)
            if self.transport is None:
                break
            body = b"" if slot.is_head else answer.body
            self.transport.write(pack_head(answer, closes, False) + body)
            self._finish(closes)
        if not self._is_closing:
            self._start_requests()

    def _must_close(self, slot: PipelineSlot, answer: Answer) -> bool:
        request = slot.request
        if request is None or answer.closes or request.closes:
            return True
        # The unread rest of a body would be parsed as a request.
        if not request.is_body_complete:
            return True
        return self._server.is_leaving and len(self._slots) == 1

    def _finish(self, closes: bool) -> None:
        self._slots.popleft()
        self.last_activity_at = time.monotonic()
        if closes:
            for slot in self._slots:
                slot.cancel()
            self._slots.clear()
            self._close()

    async def _write_streamed(self, slot: PipelineSlot, answer: Answer, pipe: BodyPipe) -> None:
        request = slot.request
        is_chunked = request is None or not request.is_http_1_0
        closes = self._must_close(slot, answer) or not is_chunked
        attempt = request.attempt_id if request is not None else ""
        writing = StreamedAnswer(answer, pipe, closes, is_chunked, attempt)
        try:
            if self.transport is None:
                return
            if not await writing.write(self.transport, self._drain_helper):
                self.abort()
                return
        finally:
            self._write_task = None
            if answer.release is not None:
                answer.release()
        self._finish(closes)
        self._flush()
