"""Offers one request to the target and tells what came of it."""

import asyncio
import time

from aiohttp.http_exceptions import HttpProcessingError

from marblefold import wire_names
from marblefold.breakdowns import Breakdown
from marblefold.http_streams.heads import ANSWER_ONLY_HERE, find_header, make_header_block
from marblefold.http_streams.target_stream import TargetAnswer, TargetStream
from marblefold.http_streams.target_streams import TargetStreams
from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.exchange import Exchange
from marblefold.inner_protocol.messages import kinds
from marblefold.request_path.outcome import HopOutcome

__all__ = ["TargetCaller", "pack_request"]

# An answer up to this is read whole before its first byte goes out, so that
# a broken one can still become a repeat or an honest 502.
_HELD_ANSWER = 512 * 1024
_PROMISES = (408, 421, 429, 503)


class TargetCaller:
    """Talks HTTP to the target beside this proxy."""

    def __init__(self, streams: TargetStreams) -> None:
        self._streams = streams

    async def offer(self, exchange: Exchange, head, seconds: float):
        """The AnswerHead of the hop; the body may follow on the exchange."""
        started = time.monotonic()
        try:
            stream = await self._streams.take()
        except Breakdown as breakdown:
            return _never_offered(breakdown.step)
        is_kept = False
        try:
            async with asyncio.timeout(max(0.001, seconds - (time.monotonic() - started))):
                answer = await self._exchange(stream, exchange, head)
                result, is_kept = await self._relay(answer, exchange)
                return result
        except TimeoutError:
            return _unknown("deadline")
        except Breakdown as breakdown:
            return _unknown(breakdown.step)
        except (ConnectionError, HttpProcessingError) as error:
            return _unknown(f"answer: {type(error).__name__}")
        finally:
            if is_kept:
                self._streams.give_back(stream)
            else:
                # Also when we were cancelled: the target then drops its work.
                stream.close()

    async def _exchange(self, stream: TargetStream, exchange: Exchange, head) -> TargetAnswer:
        await stream.begin(pack_request(head), head.attempt_id.encode("latin-1", "replace"))
        if head.body_follows:
            await _send_rest(stream, exchange, head.body_length < 0)
        return await stream.answer()

    async def _relay(self, answer: TargetAnswer, exchange: Exchange):
        """The word on the answer, and whether the stream may be kept."""
        if answer.is_not_executed:
            await answer.payload.read()
            result = kinds.AnswerHead(
                outcome=HopOutcome.NOT_EXECUTED, step=f"target said {answer.status}")
            return result, True
        if answer.status in _PROMISES:
            # Such a status would promise what the target did not say.
            return _unknown(f"target said {answer.status}"), False
        if 200 <= answer.status < 300 and not _is_success(answer):
            return _unknown("answer without seal"), False
        result = kinds.AnswerHead(
            outcome=HopOutcome.ANSWERED,
            status=answer.status,
            reason=answer.reason.encode("latin-1", "replace"),
            header_block=make_header_block(answer.headers, ANSWER_ONLY_HERE),
        )
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
    """The request as the target gets it, with the body that is at hand."""
    length = b""
    if head.body_length >= 0:
        length = b"Content-Length: %d\r\n" % head.body_length
    elif head.body_follows:
        length = b"Transfer-Encoding: chunked\r\n"
    first = head.body
    if head.body_follows and head.body_length < 0 and first:
        first = b"%x\r\n" % len(first) + first + b"\r\n"
    return b"".join((
        head.method.encode(), b" ", head.path, b" HTTP/1.1\r\n", head.header_block, length,
        wire_names.DEADLINE_MS, b": %d\r\n" % head.deadline_left_ms,
        wire_names.EXPECTED_INSTANCE, b": ", head.expected_instance.encode(), b"\r\n",
        wire_names.CALLER_SERVICE, b": ", head.caller_service.encode(), b"\r\n\r\n",
        first,
    ))


async def _send_rest(stream: TargetStream, exchange: Exchange, is_chunked: bool) -> None:
    while chunk := await exchange.incoming.read():
        if is_chunked:
            chunk = b"%x\r\n" % len(chunk) + chunk + b"\r\n"
        await stream.send(chunk)
    if is_chunked:
        await stream.send(b"0\r\n\r\n")


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
