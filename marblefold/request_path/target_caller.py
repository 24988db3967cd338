"""Sends one request to the target over HTTP and reports the outcome."""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from aiohttp.http_exceptions import HttpProcessingError

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.http_connections.heads import (
    UNFORWARDED_ANSWER_HEADERS,
    UNFORWARDED_HEAD_ANSWER_HEADERS,
    find_header,
    make_header_block,
)
from marblefold.http_connections.target_answer import TargetAnswer
from marblefold.http_connections.target_connection import ConnectionLostUnused, TargetConnection
from marblefold.http_connections.target_connection_pool import TargetConnectionPool
from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.request_path.outcome import HopOutcome
from marblefold.request_path.request_writing import (
    BodySource,
    pack_request,
    send_remaining_body,
)

__all__ = ["OfferedExchange", "TargetCaller"]

# An answer of up to this size is read completely before its first byte is sent, so that
# one that breaks off can still be retried or become a 502.
_MAX_BUFFERED_ANSWER_BYTES = 512 * 1024
# A connection that was idle for longer is used only for repeatable requests, because the
# target may have closed it.
_MAX_IDLE_SECONDS = 0.2
# Statuses by which a server may state that it did not execute the request.
_NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
# With less time remaining, a request is not sent to the target.
_MIN_OFFER_SECONDS = 0.003


class OfferedExchange(Protocol):
    """The part of a hop that the caller uses; the hop comes from a peer or the gateway itself."""

    @property
    def incoming(self) -> BodySource: ...

    def send(self, kind: FrameKind, payload: bytes = b"") -> None: ...

    async def send_body(self, chunk: bytes) -> None: ...


class TargetCaller:
    """Talks HTTP to the target beside this proxy."""

    def __init__(
        self, connections: TargetConnectionPool, on_write: Callable[[], None] = lambda: None
    ) -> None:
        """`on_write` is called when a request is written to the target."""
        self._connections = connections
        self._on_write = on_write

    async def offer(
        self,
        exchange: OfferedExchange,
        head,
        seconds: float,
        find_obstacle: Callable[[], str] | None = None,
    ):
        """Returns the AnswerHead of the hop; the body may follow on the exchange.

        The request must be answered within `seconds`.  NEVER_OFFERED is returned only if
        no byte of the request was written to the target.  `find_obstacle` returns the step
        that forbids the write at that moment, or "".
        """
        deadline = time.monotonic() + seconds
        try:
            # Whether a request on a connection that the target closed was executed is unknown.
            max_idle = None if head.route_type == wire_names.READ_ONLY else _MAX_IDLE_SECONDS
            connection = await self._connections.acquire(max_idle)
        except MeshError as error:
            return _never_offered(error.step)
        # Checked again now that there is a connection: opening it took time, and the process
        # may have been suspended.  Nothing is awaited between these checks and the write.
        remaining = deadline - time.monotonic()
        if remaining < _MIN_OFFER_SECONDS:
            self._connections.release_unused(connection)
            return _never_offered("deadline")
        obstacle = find_obstacle() if find_obstacle is not None else ""
        if obstacle:
            self._connections.release_unused(connection)
            return _never_offered(obstacle)
        head.deadline_left_ms = min(head.deadline_left_ms, max(1, int(remaining * 1000)))
        return await self._offer_on(connection, exchange, head, remaining)

    async def _offer_on(
        self, connection: TargetConnection, exchange: OfferedExchange, head, remaining: float
    ):
        """Writes the request to the connection and relays the answer."""
        is_kept = False
        try:
            async with asyncio.timeout(remaining):
                answer = await self._exchange(connection, exchange, head)
                result, is_kept = await self._relay(answer, exchange, head)
                return result
        except TimeoutError:
            return _unknown("deadline")
        except ConnectionLostUnused as error:
            return _never_offered(error.step)
        except MeshError as error:
            return _unknown(error.step)
        except (ConnectionError, HttpProcessingError) as error:
            return _unknown(f"answer: {type(error).__name__}")
        finally:
            if is_kept:
                self._connections.release(connection)
            else:
                # Also on cancellation, so that the target stops its work.
                self._connections.discard(connection)

    async def _exchange(
        self, connection: TargetConnection, exchange: OfferedExchange, head
    ) -> TargetAnswer:
        if connection.transport is not None:
            self._on_write()
        await connection.send_head(pack_request(head), head.attempt_id.encode("latin-1", "replace"))
        if head.body_follows:
            await send_remaining_body(connection, exchange.incoming, head)
        return await connection.answer()

    async def _relay(self, answer: TargetAnswer, exchange: OfferedExchange, head):
        """Returns the AnswerHead and whether the connection may be kept."""
        # The parser would wait for a body of the stated length, which never comes.
        has_body = head.method != "HEAD"
        if answer.is_not_executed:
            if has_body:
                await answer.payload.read()
            result = messages_pb2.AnswerHead(
                outcome=HopOutcome.NOT_EXECUTED, step=f"target said {answer.status}"
            )
            _read_load(answer, result)
            return result, has_body
        if answer.status in _NOT_EXECUTED_STATUSES:
            # Forwarding the status would state "not executed", which the target did not.
            return _unknown(f"target said {answer.status}"), False
        # Only targets with an instance identity send the Server-Seal header.
        if 200 <= answer.status < 300 and head.expected_instance and not _is_sealed(answer):
            return _unknown("answer without seal"), False
        result = messages_pb2.AnswerHead(
            outcome=HopOutcome.ANSWERED,
            status=answer.status,
            reason=answer.reason.encode("latin-1", "replace"),
            header_block=make_header_block(
                answer.headers,
                UNFORWARDED_ANSWER_HEADERS if has_body else UNFORWARDED_HEAD_ANSWER_HEADERS,
            ),
        )
        _read_load(answer, result)
        if not has_body:
            return result, False
        chunks: list[bytes] = []
        size = 0
        while size <= _MAX_BUFFERED_ANSWER_BYTES:
            chunk = await answer.payload.readany()
            if not chunk:
                result.body = b"".join(chunks)
                return result, True
            chunks.append(chunk)
            size += len(chunk)
        result.body_follows = True
        exchange.send(FrameKind.ANSWER, result.SerializeToString())
        try:
            await exchange.send_body(b"".join(chunks))
            while chunk := await answer.payload.readany():
                await exchange.send_body(chunk)
        except BaseException:
            exchange.send(FrameKind.RESET)
            raise
        exchange.send(FrameKind.BODY_END)
        return result, True


def _read_load(answer: TargetAnswer, result) -> None:
    """Copies the load from the header in which some targets report it."""
    reported = find_header(answer.headers, wire_names.SERVER_LOAD)
    fields = reported.split(b",") if reported is not None else ()
    if len(fields) == 3 and all(field.strip().isdigit() for field in fields):
        result.running, result.waiting, result.slots = (int(field) for field in fields)


def _is_sealed(answer: TargetAnswer) -> bool:
    if find_header(answer.headers, wire_names.SERVER_SEAL) is None:
        return False
    # An encoded body is not the body that the target produced.
    encoding = find_header(answer.headers, b"Content-Encoding")
    return encoding is None or encoding.lower() == b"identity"


def _never_offered(step: str):
    return messages_pb2.AnswerHead(outcome=HopOutcome.NEVER_OFFERED, step=step)


def _unknown(step: str):
    return messages_pb2.AnswerHead(outcome=HopOutcome.UNKNOWN, step=step)
