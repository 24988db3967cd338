"""Executes a client's request through the mesh, following its RequestDecision."""

import asyncio
import random
import time

from marblefold import wire_names
from marblefold.configuration.route_table import RouteTable
from marblefold.configuration.rows import Route
from marblefold.http_connections.answer import Answer, own_answer
from marblefold.http_connections.client_request import (
    BodyTooLarge,
    BufferedRequest,
    ClientRequest,
    ForwardedRequest,
)
from marblefold.logs import log
from marblefold.request_path.decision import Conclude, Offer, RequestDecision
from marblefold.request_path.hop_sender import Hops
from marblefold.request_path.outcome import HopOutcome, HopResult
from marblefold.request_path.request_head import make_head
from marblefold.request_path.running_work import RunningWork
from marblefold.request_path.surroundings import Surroundings
from marblefold.request_path.tracers import RequestTracer

__all__ = ["RequestExecutor"]

# A body of up to so many bytes is buffered, so that it can be sent again.
_HELD_BODY = 512 * 1024
_NO_DEADLINE_SECONDS = 600.0
# Retry-After, in seconds, for a body that was not received by its deadline.
_AGAIN_SECONDS = 0.1
_LONGEST_ID = 200
# How a request ends whose client is gone.
_CANCELLED = Conclude(Answer(0), "cancelled")


class RequestExecutor:
    """Serves the requests that clients send to this proxy."""

    def __init__(
        self,
        surroundings: Surroundings,
        hops: Hops,
        work: RunningWork,
        caller: str,
    ) -> None:
        self.caller = caller
        # Records every step, if this node traces.
        self.tracer: RequestTracer | None = None
        self._work = work
        self._surroundings = surroundings
        self.hops = hops
        self._random = random.Random()

    async def serve(self, request: ClientRequest) -> Answer:
        """The answer to the request; ConnectionError if its client is lost."""
        table = self._surroundings.view.table
        if table is None:
            return own_answer(503, "no configuration yet", request.attempt_id, 0.5)
        route = self._find_route(request, table)
        if isinstance(route, Answer):
            return route
        # Decided on the head alone, before any work is done for the request.
        concurrency_limiter = self._surroundings.concurrency
        passage = concurrency_limiter.ask(route.name, route.priority, request.arrived)
        if not passage.allowed:
            log.warning("concurrency limit", route=route.name, attempt=request.attempt_id)
            return own_answer(429, "too many alike", request.attempt_id, passage.retry_after)
        ticket = concurrency_limiter.begin(route.name, request.arrived, request.attempt_id)
        try:
            return await self._serve_on_route(request, route, table.limits.body_bytes)
        finally:
            concurrency_limiter.end(route.name, ticket)

    async def _serve_on_route(
        self, request: ClientRequest, route: Route, body_limit: int
    ) -> Answer:
        deadline = self._find_deadline(request, route)
        try:
            body, is_whole = await _gather(request, body_limit, deadline)
        except TimeoutError:
            # Nothing was begun, and the rest of the body will not be read.
            return own_answer(503, "not run: body", request.attempt_id, _AGAIN_SECONDS, closes=True)
        except BodyTooLarge:
            return own_answer(413, "the body is too large", request.attempt_id, closes=True)
        try:
            return await self._run(request, route, deadline, body, is_whole, body_limit)
        except BodyTooLarge:
            return own_answer(413, "the body is too large", request.attempt_id, closes=True)

    async def _run(
        self,
        request: ClientRequest,
        route: Route,
        deadline: float,
        body: bytes,
        is_whole: bool,
        body_limit: int,
    ) -> Answer:
        surroundings = self._surroundings
        upstream = self._pick_upstream(route)
        parent = self._work.find_parent(request.attempt_id)
        kilobytes = max(len(body), request.body_length) / 1024 + surroundings.answer_kilobytes(
            route.name
        )
        decision = RequestDecision(
            route,
            upstream,
            request.attempt_id,
            request.arrived,
            deadline,
            is_whole,
            kilobytes,
            parent is not None,
            surroundings,
        )
        now = time.monotonic()
        surroundings.note_request(upstream, now)
        owner = surroundings.view.owners.get(upstream)
        table = surroundings.view.table
        known = table.upstreams.get(upstream) if table is not None else None
        head = make_head(request, route, upstream, known, self.caller, body, is_whole)
        head.config_version = table.number if table is not None else 0
        head.owner_epoch = owner.epoch if owner is not None else 0
        if parent is not None:
            # Work was already done for the calling request: its calls go first.
            head.priority = 0
            head.repeat_run = parent.is_repeat
            if parent.is_repeat:
                surroundings.note_repeat(upstream, now)
        span = None
        tracer = self.tracer
        if tracer is not None:
            span = tracer.begin_request(
                request,
                route,
                upstream,
                parent.span if parent is not None else None,
                self.caller,
                body,
                is_whole,
            )
        end = _CANCELLED
        try:
            while not isinstance(step := decision.next_step(time.monotonic()), Conclude):
                # A body that is buffered whole can be sent again from its beginning.
                sent: ForwardedRequest = (
                    BufferedRequest(request, body) if is_whole and head.body_follows else request
                )
                result = await self._hop(step, head, sent, decision, body_limit, span)
                decision.note(step.target, result)
            end = step
        finally:
            surroundings.traffic.note(
                route.name, end.answer.status, time.monotonic() - request.arrived, kilobytes
            )
            if tracer is not None and span is not None:
                tracer.finish_request(span, end.answer.status, end.step, decision.may_have_run)
        if end.answer.status >= 500 and end.step != "answered":
            log.info(
                "gave up",
                attempt=request.attempt_id,
                step=end.step,
                status=end.answer.status,
                upstream=upstream,
            )
        if end.answer.status < 300:
            surroundings.note_answer(route.name, len(end.answer.body) / 1024)
        return end.answer

    async def _hop(
        self,
        offer: Offer,
        head,
        request: ForwardedRequest,
        decision: RequestDecision,
        body_limit: int,
        span,
    ) -> HopResult:
        target = offer.target
        head.expected_instance = target.instance
        head.deadline_left_ms = int(offer.seconds_left * 1000)
        head.queue_left_ms = int(offer.queue_seconds * 1000)
        head.aim_left_ms = int(offer.aim_seconds * 1000)
        head.attempt_number = offer.attempt_number
        head.last_resort = offer.is_last_resort
        surroundings = self._surroundings
        # Any attempt after the first may reach a target as a repeat.
        if offer.attempt_number > 1:
            surroundings.note_repeat(target.upstream, time.monotonic())
        ticket = surroundings.begin(target, decision.weight, head.attempt_id)
        result = HopResult(HopOutcome.UNKNOWN, step="cancelled")
        hop = None
        tracer = self.tracer
        if tracer is not None and span is not None:
            peer = target.peer if self.hops.has_guard(target.upstream) else ""
            hop = tracer.begin_hop(span, head, target.instance, peer, offer.attempt_number)
        try:
            result = await self.hops.send(
                target.peer, head, request, body_limit, offer.seconds_left
            )
            return result
        finally:
            surroundings.end(target, ticket, result, decision.weight)
            if tracer is not None and hop is not None:
                tracer.finish_hop(hop, result)

    def may_run_concurrently(self, request: ClientRequest) -> bool:
        """Whether a pipelined request may run before those ahead of it are answered.

        Whether a request may be repeated depends on its route, not on its method.
        """
        table = self._surroundings.view.table
        route = table.find(request.host, request.path) if table is not None else None
        return route is not None and route.kind == wire_names.READ_ONLY

    def _find_route(self, request: ClientRequest, table: RouteTable) -> Route | Answer:
        """The route of the request, or the answer that refuses it."""
        if request.is_upgrade or request.method == "CONNECT":
            return own_answer(400, "no such use of the connection", closes=True)
        attempt = request.attempt_id
        if not attempt or len(attempt) > _LONGEST_ID or not attempt.isascii():
            return own_answer(400, "no Attempt-Id")
        route = table.find(request.host, request.path)
        if route is None:
            route = self._surroundings.view.find_partner_route(
                request.host, request.path, time.monotonic()
            )
        if route is None:
            return own_answer(404, "no route", request.attempt_id)
        return route

    def _find_deadline(self, request: ClientRequest, route: Route) -> float:
        requested = request.deadline_ms
        seconds = requested / 1000.0 if requested is not None else _NO_DEADLINE_SECONDS
        return request.arrived + min(seconds, route.time_limit.total_seconds())

    def _pick_upstream(self, route: Route) -> str:
        if len(route.upstreams) == 1:
            return route.upstreams[0]
        return self._random.choices(route.upstreams, route.weights)[0]


async def _gather(request: ClientRequest, most: int, deadline: float) -> tuple[bytes, bool]:
    """The buffered part of the body, and whether it is whole.

    Raises TimeoutError if the body is not received by the deadline (monotonic seconds),
    BodyTooLarge above `most` bytes, and ConnectionError if the client is lost.
    """
    if not request.has_body:
        return b"", True
    async with asyncio.timeout(max(0.0, deadline - time.monotonic())):
        return await request.read_body(_HELD_BODY, most)
