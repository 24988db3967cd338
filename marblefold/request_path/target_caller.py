"""Sends one request to the target and reports the outcome."""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from aiohttp.http_exceptions import HttpProcessingError

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.http_connections.heads import (
    UNFORWARDED_ANSWER_HEADERS,
    find_header,
    make_header_block,
)
from marblefold.http_connections.target_answer import TargetAnswer
from marblefold.http_connections.target_connection import ConnectionLostUnused, TargetConnection
from marblefold.http_connections.target_connection_pool import TargetConnectionPool
from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.messages import kinds
from marblefold.request_path.outcome import HopOutcome

__all__ = ["BodySource", "OfferedExchange", "TargetCaller", "pack_request"]

# An answer of up to so many bytes is read whole before its first byte is sent, so
# that a broken one can still be retried or become a 502.
_HELD_ANSWER = 512 * 1024
# The target may have dropped a connection that was idle for longer (seconds): it is
# used only for repeatable requests.
_LONGEST_REST = 0.2
_PROMISES = (408, 421, 429, 503)
# Less time than this is not worth an offer.
_LEAST_SECONDS = 0.003


class BodySource(Protocol):
    """Where the body of a request is read from."""

    async def read(self) -> bytes: ...


class OfferedExchange(Protocol):
    """What the caller needs of a hop, be it from a peer or of a gateway itself."""

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
        """The AnswerHead of the hop; the body may follow on the exchange.

        The request must be answered within the given seconds.  NEVER_OFFERED
        is returned only if not a byte of it was written to the target.  `find_obstacle`
        names what forbids the write in that moment, or gives "".
        """
        deadline = time.monotonic() + seconds
        try:
            # A request sent on a connection that the target dropped may have run.
            rest = None if head.route_type == wire_names.READ_ONLY else _LONGEST_REST
            connection = await self._connections.acquire(rest)
        except MeshError as error:
            return _never_offered(error.step)
        # Checked after the connection was obtained: nothing is awaited from here on.
        # Opening it took time, and the process may have been suspended.
        left = deadline - time.monotonic()
        if left < _LEAST_SECONDS:
            self._connections.release_unused(connection)
            return _never_offered("deadline")
        obstacle = find_obstacle() if find_obstacle is not None else ""
        if obstacle:
            self._connections.release_unused(connection)
            return _never_offered(obstacle)
        head.deadline_left_ms = min(head.deadline_left_ms, max(1, int(left * 1000)))
        return await self._offer_on(connection, exchange, head, left)

    async def _offer_on(
        self, connection: TargetConnection, exchange: OfferedExchange, head, left: float
    ):
        """Writes the request to the connection and reads the answer."""
        is_kept = False
        try:
            async with asyncio.timeout(left):
                answer = await self._exchange(connection, exchange, head)
                result, is_kept = await self._relay(answer, exchange, head.expected_instance != "")
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
                # Also on cancellation: the target then stops its work.
                self._connections.discard(connection)

    async def _exchange(
        self, connection: TargetConnection, exchange: OfferedExchange, head
    ) -> TargetAnswer:
        if connection.transport is not None:
            self._on_write()
        await connection.send_head(pack_request(head), head.attempt_id.encode("latin-1", "replace"))
        if head.body_follows:
            await _send_rest(connection, exchange, head)
        return await connection.answer()

    async def _relay(self, answer: TargetAnswer, exchange: OfferedExchange, is_sealed: bool):
        """The AnswerHead, and whether the connection may be kept."""
        if answer.is_not_executed:
            await answer.payload.read()
            result = kinds.AnswerHead(
                outcome=HopOutcome.NOT_EXECUTED, step=f"target said {answer.status}"
            )
            _read_load(answer, result)
            return result, True
        if answer.status in _PROMISES:
            # Such a status would promise "not executed", which the target did not state.
            return _unknown(f"target said {answer.status}"), False
        # Only targets of our own seal their answers.
        if 200 <= answer.status < 300 and is_sealed and not _is_success(answer):
            return _unknown("answer without seal"), False
        result = kinds.AnswerHead(
            outcome=HopOutcome.ANSWERED,
            status=answer.status,
            reason=answer.reason.encode("latin-1", "replace"),
            header_block=make_header_block(answer.headers, UNFORWARDED_ANSWER_HEADERS),
        )
        _read_load(answer, result)
        parts: list[bytes] = []
        size = 0
        while size <= _HELD_ANSWER:
            chunk = await answer.payload.readany()
            if not chunk:
                result.body = b"".join(parts)
                return result, True
            parts.append(chunk)
            size += len(chunk)
        result.body_follows = True
        exchange.send(FrameKind.ANSWER, result.SerializeToString())
        try:
            await exchange.send_body(b"".join(parts))
            while chunk := await answer.payload.readany():
                await exchange.send_body(chunk)
        except BaseException:
            exchange.send(FrameKind.RESET)
            raise
        exchange.send(FrameKind.BODY_END)
        return result, True


def pack_request(head) -> bytes:
    """The bytes of the request for the target, with the body received so far."""
    length = b""
    if head.body_length >= 0:
        length = b"Content-Length: %d\r\n" % head.body_length
    elif head.body_follows:
        length = b"Transfer-Encoding: chunked\r\n"
    first = head.body
    if head.body_follows and head.body_length < 0 and first:
        first = b"%x\r\n" % len(first) + first + b"\r\n"
    caller = b""
    # There is no calling service if no target runs beside the client.
    if head.caller_service:
        caller = wire_names.CALLER_SERVICE + b": " + head.caller_service.encode() + b"\r\n"
    expected = b""
    if head.expected_instance:
        expected = wire_names.EXPECTED_INSTANCE + b": " + head.expected_instance.encode() + b"\r\n"
    return b"".join(
        (
            head.method.encode(),
            b" ",
            head.path,
            b" HTTP/1.1\r\n",
            head.header_block,
            length,
            wire_names.DEADLINE_MS,
            b": %d\r\n" % head.deadline_left_ms,
            expected,
            caller,
            b"\r\n",
            first,
        )
    )


async def _send_rest(connection: TargetConnection, exchange: OfferedExchange, head) -> None:
    is_chunked = head.body_length < 0
    sent = len(head.body)
    while chunk := await exchange.incoming.read():
        sent += len(chunk)
        if is_chunked:
            chunk = b"%x\r\n" % len(chunk) + chunk + b"\r\n"
        await connection.send(chunk)
    if is_chunked:
        await connection.send(b"0\r\n\r\n")
    elif sent != head.body_length:
        # A target that answered early would take the next request's bytes for
        # the rest of this body.
        raise MeshError("body", f"{sent} bytes of {head.body_length}")


def _read_load(answer: TargetAnswer, result) -> None:
    """Copies the load that some targets report in a header."""
    reported = find_header(answer.headers, wire_names.SERVER_LOAD)
    parts = reported.split(b",") if reported is not None else ()
    if len(parts) == 3 and all(part.strip().isdigit() for part in parts):
        result.running, result.waiting, result.slots = (int(part) for part in parts)


def _is_success(answer: TargetAnswer) -> bool:
    if find_header(answer.headers, wire_names.SERVER_SEAL) is None:
        return False
    # An encoded body is not the body of the target.
    encoding = find_header(answer.headers, b"Content-Encoding")
    return encoding is None or encoding.lower() == b"identity"


def _never_offered(step: str):
    return kinds.AnswerHead(outcome=HopOutcome.NEVER_OFFERED, step=step)


def _unknown(step: str):
    return kinds.AnswerHead(outcome=HopOutcome.UNKNOWN, step=step)
