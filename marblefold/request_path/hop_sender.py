"""Sends hops to the proxies beside targets and returns their results."""

import asyncio
import math
import time
from collections.abc import Callable
from typing import Protocol

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.http_connections.answer import Answer
from marblefold.http_connections.client_request import BodyTooLarge, ForwardedRequest
from marblefold.inner_protocol.body_pipe import BodyPipe
from marblefold.inner_protocol.exchange import Exchange
from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.inner_protocol.peer_connection_pool import PeerConnectionPool
from marblefold.request_path.outcome import HopOutcome, HopResult, TargetLoad
from marblefold.request_path.pending_hop import PendingHop

__all__ = ["MAX_AIM_MS", "HopSender", "HopTransport", "make_result"]

# Milliseconds: 12 days, which the field of the head (32 bits) holds with room to spare.
MAX_AIM_MS = 2**30

# A peer with hops in progress that sends nothing for this long is pinged, and counts
# as unresponsive if no frame arrives before the timeout.
_PING_AFTER_SECONDS = 0.15
_PONG_TIMEOUT_SECONDS = 0.3
# On a slow link a pong may be queued behind this many bytes.
_MAX_QUEUED_BYTES = 96 * 1024
_CHECK_INTERVAL_SECONDS = 0.1
# With less time left than this, no hop is sent.
_MIN_HOP_SECONDS = 0.004
# How long after the deadline the guard's answer is still awaited.
_ANSWER_GRACE_SECONDS = 0.03


class HopTransport(Protocol):
    """Sends hops, either to the guard of a peer or directly to a target."""

    async def send(
        self,
        peer: str,
        head,
        request: ForwardedRequest,
        max_body_bytes: int,
        seconds: float,
    ) -> HopResult: ...

    def has_guard(self, upstream: str) -> bool: ...


class HopSender:
    """Sends hops over the connections to peers."""

    def __init__(
        self,
        peers: PeerConnectionPool,
        on_unresponsive: Callable[[str], None],
        link_bytes_per_second: float = 1e9,
    ) -> None:
        self._peers = peers
        self._pong_timeout_seconds = _PONG_TIMEOUT_SECONDS + _MAX_QUEUED_BYTES / max(
            1.0, link_bytes_per_second
        )
        self._on_unresponsive = on_unresponsive

    async def run(self) -> None:
        """Checks forever for unresponsive peers.

        A machine that lost power or is partitioned sends nothing, not even a reset;
        repeatable requests are retried elsewhere instead of waiting until their deadline.
        """
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)
            now = time.monotonic()
            for connection in self._peers.connections():
                if connection.is_unresponsive(now, _PING_AFTER_SECONDS, self._pong_timeout_seconds):
                    self._on_unresponsive(connection.peer)
                    connection.note_silence()

    def has_guard(self, upstream: str) -> bool:
        """True for every upstream: these hops always end at a guard."""
        return True

    async def send(
        self,
        peer: str,
        head,
        request: ForwardedRequest,
        max_body_bytes: int,
        seconds: float,
    ) -> HopResult:
        """Sends the hop and returns its result within `seconds`.

        Raises BodyTooLarge if the request has more than `max_body_bytes` bytes.
        """
        started = time.monotonic()
        try:
            connection = await self._peers.connect(peer)
            exchange = connection.open_exchange()
        except MeshError as error:
            # There is no connection, so it is certain that nothing was sent.
            return HopResult(HopOutcome.NEVER_OFFERED, step=error.step)
        # Connecting takes time, and this process may have been suspended meanwhile.
        elapsed_seconds = time.monotonic() - started
        seconds -= elapsed_seconds
        if seconds < _MIN_HOP_SECONDS:
            exchange.close()
            return HopResult(HopOutcome.NEVER_OFFERED, step="deadline")
        _deduct_elapsed(head, elapsed_seconds)
        exchange.is_repeatable = head.route_type == wire_names.READ_ONLY
        sender: asyncio.Task | None = None
        is_complete = False
        is_kept = False
        try:
            exchange.send(FrameKind.HEAD, head.SerializeToString())
            if head.body_follows:
                sender = asyncio.get_running_loop().create_task(
                    _send_body(exchange, request, max_body_bytes)
                )
            async with asyncio.timeout(seconds + _ANSWER_GRACE_SECONDS):
                payload = await _receive_answer(exchange, sender)
            is_kept = True
            if payload is None:
                return _pending_result(exchange, request.method)
            answer_head = messages_pb2.AnswerHead.FromString(payload)
            is_complete = not answer_head.body_follows
            return make_result(answer_head, exchange.incoming, exchange.cancel, request.method)
        except TimeoutError:
            return HopResult(HopOutcome.UNKNOWN, step="deadline")
        except MeshError as error:
            if sender is not None and sender.done() and not sender.cancelled():
                failure = sender.exception()
                if isinstance(failure, BodyTooLarge):
                    raise failure from error
            return HopResult(HopOutcome.UNKNOWN, step=error.step)
        finally:
            if sender is not None and not sender.done():
                sender.cancel()
            if is_complete:
                exchange.close()
            elif not is_kept:
                # Cancels the hop at a guard that is still processing it; an unresponsive
                # guard that resumes reads this right after the hop and does not start it.
                exchange.cancel()


async def _receive_answer(exchange: Exchange, sender: asyncio.Task | None) -> bytes | None:
    """Returns the answer, or None if the peer is unresponsive and the hop may be repeated.

    Raises MeshError if the hop failed, and for an unresponsive peer without the whole body.
    """
    if not exchange.is_repeatable:
        return await exchange.answer
    payload = await exchange.answer_or_silence()
    if payload is None and sender is not None and not sender.done():
        raise MeshError("silent", "no sign of life", exchange.connection.peer)
    return payload


def _pending_result(exchange: Exchange, method: str) -> HopResult:
    """The result of a hop whose peer is unresponsive."""

    def read_answer(head, exchange: Exchange) -> Answer | None:
        return make_result(head, exchange.incoming, exchange.cancel, method).answer

    return HopResult(HopOutcome.UNKNOWN, step="silent", pending=PendingHop(exchange, read_answer))


def _deduct_elapsed(head, elapsed_seconds: float) -> None:
    """Deducts the elapsed time from the remaining times in the head."""
    milliseconds = math.ceil(elapsed_seconds * 1000)
    head.deadline_left_ms = max(1, head.deadline_left_ms - milliseconds)
    head.queue_left_ms = max(0, head.queue_left_ms - milliseconds)
    head.aim_left_ms = max(-MAX_AIM_MS, head.aim_left_ms - milliseconds)


async def _send_body(exchange: Exchange, request: ForwardedRequest, max_body_bytes: int) -> None:
    try:
        while chunk := await request.read_chunk(max_body_bytes):
            await exchange.send_body(chunk)
        exchange.send(FrameKind.BODY_END)
    except (ConnectionError, BodyTooLarge) as error:
        # The target must not take a partial body for a complete one.
        exchange.send(FrameKind.CANCEL)
        exchange.fail(MeshError("body", str(error) or "too large"))
        raise
    except MeshError:
        return


def make_result(
    head,
    pipe: BodyPipe,
    release: Callable[[], object],
    method: str,
) -> HopResult:
    """Builds the result of a hop from its AnswerHead; a large body follows in the pipe.

    Raises ValueError if the outcome in the head is unknown.
    """
    load = TargetLoad(head.running, head.waiting, head.slots) if head.slots else None
    outcome = HopOutcome(head.outcome)
    answer = None
    if outcome is HopOutcome.ANSWERED:
        answer = Answer(
            head.status,
            head.reason,
            head.header_block,
            head.body,
            pipe if head.body_follows else None,
            is_bodiless=method == "HEAD",
            release=release if head.body_follows else None,
        )
    return HopResult(
        outcome,
        answer,
        head.retry_after_ms / 1000.0,
        head.step,
        load,
        head.service_us / 1e6,
    )
