"""Sends hops directly to a target, where a proxy sends them to a peer's guard.

The same TargetCaller as behind a guard is used; its exchange is the local one
below instead of one on a connection to a peer.
"""

import asyncio
import time
from collections.abc import Callable

from marblefold.errors import MeshError
from marblefold.gateway.target_pool import TargetPool
from marblefold.http_connections.client_request import ForwardedRequest
from marblefold.inner_protocol.body_pipe import FIRST_CREDIT, BodyPipe
from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.messages import kinds
from marblefold.request_path.hop_sender import make_result
from marblefold.request_path.outcome import HopOutcome, HopResult

__all__ = ["TargetHops"]


class _RequestBody:
    """The body of the client's request, as the caller reads it."""

    def __init__(self, request: ForwardedRequest, bound: int) -> None:
        self._request = request
        self._bound = bound

    async def read(self) -> bytes:
        return await self._request.read_chunk(self._bound)


class _TargetExchange:
    """The hop as TargetCaller uses it."""

    def __init__(self, request: ForwardedRequest, bound: int) -> None:
        self.incoming = _RequestBody(request, bound)
        self.answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.pipe = BodyPipe(self._grant)
        self._credit = FIRST_CREDIT
        self._waiter: asyncio.Future | None = None

    def send(self, kind: FrameKind, payload: bytes = b"") -> None:
        """Applies a frame of the answer."""
        if kind == FrameKind.ANSWER and not self.answer.done():
            self.answer.set_result(payload)
        elif kind == FrameKind.BODY_END:
            self.pipe.finish()
        elif kind == FrameKind.RESET:
            self.pipe.break_off(MeshError("answer", "aborted by the target"))

    async def send_body(self, chunk: bytes) -> None:
        """A part of the answer's body; waits for a client that reads slowly."""
        self._credit -= len(chunk)
        self.pipe.feed(chunk)
        while self._credit <= 0:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def _grant(self, size: int) -> None:
        self._credit += size
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class TargetHops:
    """Sends hops directly to targets."""

    def __init__(self, pool: TargetPool) -> None:
        self._pool = pool

    def has_guard(self, upstream: str) -> bool:
        """Always False: hops go to the target itself."""
        return False

    async def send(
        self,
        peer: str,
        head,
        request: ForwardedRequest,
        body_bound: int,
        seconds: float,
        find_obstacle: Callable[[], str] | None = None,
    ) -> HopResult:
        """The hop's end; it raises only BodyTooLarge and a lost client."""
        caller = self._pool.caller(peer)
        if caller is None:
            # Nothing was sent: certain.
            return HopResult(HopOutcome.NEVER_OFFERED, step="no descriptor", retry_after=0.1)
        started = time.monotonic()
        exchange = _TargetExchange(request, body_bound)
        offer = asyncio.get_running_loop().create_task(
            caller.offer(exchange, head, seconds, find_obstacle)
        )
        try:
            # The body of a large answer follows its head; a small one is part of it.
            await asyncio.wait({offer, exchange.answer}, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            offer.cancel()
            raise
        if exchange.answer.done():
            answer_head = kinds.AnswerHead.FromString(exchange.answer.result())
            offer.add_done_callback(_look_at_end)
        else:
            answer_head = offer.result()
        answer_head.service_us = int((time.monotonic() - started) * 1e6)
        return make_result(answer_head, exchange.pipe, offer.cancel, request.method)


def _look_at_end(offer: asyncio.Task) -> None:
    # The pipe carries the error of a large answer; mark it as retrieved here.
    if not offer.cancelled():
        offer.exception()
