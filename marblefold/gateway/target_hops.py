"""Sends hops directly to a target, where a proxy sends them to the guard of a peer.

It uses the same TargetCaller as a guard does, with an in-process exchange instead of
one on a connection to a peer.
"""

import asyncio
import time
from collections.abc import Callable

from marblefold.errors import MeshError
from marblefold.gateway.target_pool import TargetPool
from marblefold.http_connections.client_request import ForwardedRequest
from marblefold.inner_protocol.body_pipe import INITIAL_CREDIT_BYTES, BodyPipe
from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.request_path.hop_sender import make_result
from marblefold.request_path.outcome import HopOutcome, HopResult

__all__ = ["TargetHops"]


class _RequestBody:
    """The body of the client's request, as a BodySource of TargetCaller."""

    def __init__(self, request: ForwardedRequest, max_bytes: int) -> None:
        self._request = request
        self._max_bytes = max_bytes

    async def read(self) -> bytes:
        return await self._request.read_chunk(self._max_bytes)


class _TargetExchange:
    """An in-process exchange: what TargetCaller sends is the answer of the hop."""

    def __init__(self, request: ForwardedRequest, max_bytes: int) -> None:
        self.incoming = _RequestBody(request, max_bytes)
        self.answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.pipe = BodyPipe(self._grant)
        self._credit = INITIAL_CREDIT_BYTES
        self._waiter: asyncio.Future | None = None

    def send(self, kind: FrameKind, payload: bytes = b"") -> None:
        """Handles a frame of the answer."""
        if kind == FrameKind.ANSWER and not self.answer.done():
            self.answer.set_result(payload)
        elif kind == FrameKind.BODY_END:
            self.pipe.finish()
        elif kind == FrameKind.RESET:
            self.pipe.fail(MeshError("answer", "aborted by the target"))

    async def send_body(self, chunk: bytes) -> None:
        """Passes on a part of the answer's body; waits while the client's credit is used up."""
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
        max_body_bytes: int,
        seconds: float,
        find_obstacle: Callable[[], str] | None = None,
    ) -> HopResult:
        """Sends the hop and returns its result within `seconds`.

        `find_obstacle` is called just before the first byte is sent; a text other than
        "" prevents it.  Raises only BodyTooLarge, if the body exceeds `max_body_bytes` bytes,
        and CancelledError, if the client disconnects.
        """
        caller = self._pool.caller(peer)
        if caller is None:
            # Nothing was sent, so the request was certainly not executed.
            return HopResult(HopOutcome.NEVER_OFFERED, step="no descriptor", retry_after=0.1)
        started = time.monotonic()
        exchange = _TargetExchange(request, max_body_bytes)
        offer = asyncio.get_running_loop().create_task(
            caller.offer(exchange, head, seconds, find_obstacle)
        )
        try:
            # A large answer arrives on the exchange, with its body behind its head; a
            # small one is the result of the call.
            await asyncio.wait({offer, exchange.answer}, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            offer.cancel()
            raise
        if exchange.answer.done():
            answer_head = messages_pb2.AnswerHead.FromString(exchange.answer.result())
            offer.add_done_callback(_retrieve_error)
        else:
            answer_head = offer.result()
        answer_head.service_us = int((time.monotonic() - started) * 1e6)
        return make_result(answer_head, exchange.pipe, offer.cancel, request.method)


def _retrieve_error(offer: asyncio.Task) -> None:
    # Marks the error as retrieved, so that asyncio does not log it: the pipe carries it.
    if not offer.cancelled():
        offer.exception()
