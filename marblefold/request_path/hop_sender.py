"""Sends one hop to the proxy beside a target and returns its result."""

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
from marblefold.inner_protocol.messages import kinds
from marblefold.inner_protocol.peer_book import PeerBook
from marblefold.request_path.outcome import HopOutcome, HopResult, TargetLoad

__all__ = ["HopSender", "Hops", "make_result"]

# A peer that holds hops and sends nothing for so many seconds is pinged, and
# counts as unresponsive if no frame arrives in time.
_QUIET_SECONDS = 0.15
_PATIENCE_SECONDS = 0.3
# On a narrow link a pong may be queued behind so many bytes.
_AHEAD_BYTES = 96 * 1024
_LOOK_SECONDS = 0.1
# Less time than this is not worth a hop.
_LEAST_SECONDS = 0.004
# How many seconds after the deadline the guard's answer is still awaited.
_GUARD_ANSWER_SECONDS = 0.03


class Hops(Protocol):
    """Where a hop ends: at a peer's guard, or at a target itself."""

    async def send(
        self,
        peer: str,
        head,
        request: ForwardedRequest,
        body_bound: int,
        seconds: float,
    ) -> HopResult: ...

    def has_guard(self, upstream: str) -> bool: ...


class HopSender:
    """Carries hops over the connections to peers."""

    def __init__(
        self,
        peers: PeerBook,
        on_silent: Callable[[str], None],
        link_bytes_per_second: float = 1e9,
    ) -> None:
        self._peers = peers
        self._patience = _PATIENCE_SECONDS + _AHEAD_BYTES / max(1.0, link_bytes_per_second)
        self._on_silent = on_silent

    async def run(self) -> None:
        """Checks forever for unresponsive peers.

        A machine without power or behind a network partition sends nothing;
        repeatable requests need not wait for it until their deadline.
        """
        while True:
            await asyncio.sleep(_LOOK_SECONDS)
            now = time.monotonic()
            for connection in self._peers.connections():
                if connection.is_silent(now, _QUIET_SECONDS, self._patience):
                    self._on_silent(connection.peer)
                    connection.break_off_repeatable(
                        MeshError("silent", "no sign of life", connection.peer)
                    )

    def has_guard(self, upstream: str) -> bool:
        """Hops end at a guard, whatever the upstream."""
        return True

    async def send(
        self,
        peer: str,
        head,
        request: ForwardedRequest,
        body_bound: int,
        seconds: float,
    ) -> HopResult:
        """The result of the hop, sent within `seconds`.

        Raises BodyTooLarge if the request has more than `body_bound` bytes.
        """
        started = time.monotonic()
        try:
            connection = await self._peers.reach(peer)
            exchange = connection.open_exchange()
        except MeshError as error:
            # No connection, nothing sent: certain.
            return HopResult(HopOutcome.NEVER_OFFERED, step=error.step)
        # Connecting took time, and this process may have been suspended.
        spent = time.monotonic() - started
        seconds -= spent
        if seconds < _LEAST_SECONDS:
            exchange.close()
            return HopResult(HopOutcome.NEVER_OFFERED, step="deadline")
        _take_off(head, spent)
        exchange.is_repeatable = head.route_type == wire_names.READ_ONLY
        sender: asyncio.Task | None = None
        is_over = False
        has_answer = False
        try:
            exchange.send(FrameKind.HEAD, head.SerializeToString())
            if head.body_follows:
                sender = asyncio.get_running_loop().create_task(
                    _send_rest(exchange, request, body_bound)
                )
            async with asyncio.timeout(seconds + _GUARD_ANSWER_SECONDS):
                payload = await exchange.answer
            answer_head = kinds.AnswerHead.FromString(payload)
            has_answer = True
            is_over = not answer_head.body_follows
            return make_result(answer_head, exchange.incoming, exchange.abandon, request.method)
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
            if is_over:
                exchange.close()
            elif not has_answer:
                # Cancels the hop at a guard still working on it; an unresponsive
                # guard reads this right behind the hop and does not begin it.
                exchange.abandon()


def _take_off(head, spent: float) -> None:
    """Reduces the times in the head to what is left."""
    milliseconds = math.ceil(spent * 1000)
    head.deadline_left_ms = max(1, head.deadline_left_ms - milliseconds)
    head.queue_left_ms = max(0, head.queue_left_ms - milliseconds)
    head.aim_left_ms -= milliseconds


async def _send_rest(exchange: Exchange, request: ForwardedRequest, bound: int) -> None:
    try:
        while chunk := await request.read_chunk(bound):
            await exchange.send_body(chunk)
        exchange.send(FrameKind.BODY_END)
    except (ConnectionError, BodyTooLarge) as error:
        # The target must not mistake a partial body for a whole one.
        exchange.send(FrameKind.CANCEL)
        exchange.break_off(MeshError("body", str(error) or "too large"))
        raise
    except MeshError:
        return


def make_result(
    head,
    pipe: BodyPipe,
    release: Callable[[], object],
    method: str,
) -> HopResult:
    """The result of a hop from its AnswerHead; a large body follows in the pipe.

    Raises ValueError if the head holds no known outcome.
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
