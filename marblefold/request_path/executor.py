"""Executes client requests, carrying out the steps of their RequestDecision."""

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
from marblefold.request_path.decision import ANSWERED_STEP, Conclude, Offer, RequestDecision
from marblefold.request_path.hop_sender import MAX_AIM_MS, HopTransport
from marblefold.request_path.open_hops import OpenHops
from marblefold.request_path.outcome import HopOutcome, HopResult
from marblefold.request_path.request_head import make_head
from marblefold.request_path.request_intake import buffer_body, find_deadline, find_malformed
from marblefold.request_path.routing_state import RoutingState
from marblefold.request_path.running_requests import RunningRequests
from marblefold.request_path.tracers import RequestTracer

__all__ = ["RequestExecutor"]

# Retry-After for a request whose body was not received by its deadline.
_BODY_RETRY_AFTER_SECONDS = 0.1
# The conclusion of a request whose client has disconnected.
_CANCELLED = Conclude(Answer(0), "cancelled")


class RequestExecutor:
    """Executes the requests that clients send to this proxy."""

    def __init__(
        self,
        routing_state: RoutingState,
        hops: HopTransport,
        running_requests: RunningRequests,
        caller: str,
    ) -> None:
        self.caller = caller
        # Set only if this node traces requests.
        self.tracer: RequestTracer | None = None
        self._running_requests = running_requests
        self._routing_state = routing_state
        self.hops = hops
        self._random = random.Random()

    async def serve(self, request: ClientRequest) -> Answer:
        """Returns the answer to the request; ConnectionError if the client disconnects."""
        table = self._routing_state.view.table
        if table is None:
            return own_answer(503, "no configuration yet", request.attempt_id, 0.5)
        route = self._find_route(request, table)
        if isinstance(route, Answer):
            return route
        # Decided on the request head alone, before any work is done for the request.
        concurrency_limiter = self._routing_state.concurrency
        admission = concurrency_limiter.admit(route.name, route.priority, request.arrived)
        if not admission.allowed:
            log.warning("concurrency limit", route=route.name, attempt=request.attempt_id)
            return own_answer(429, "too many alike", request.attempt_id, admission.retry_after)
        permit = concurrency_limiter.begin(route.name, request.arrived, request.attempt_id)
        try:
            return await self._serve_on_route(request, route, table.limits.body_bytes)
        finally:
            concurrency_limiter.end(route.name, permit)

    async def _serve_on_route(
        self, request: ClientRequest, route: Route, body_limit: int
    ) -> Answer:
        deadline = find_deadline(request, route)
        try:
            body, is_whole = await buffer_body(request, body_limit, deadline)
        except TimeoutError:
            # No hop was sent, and the rest of the body is not read.
            return own_answer(
                503, "not run: body", request.attempt_id, _BODY_RETRY_AFTER_SECONDS, closes=True
            )
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
        routing_state = self._routing_state
        upstream = self._pick_upstream(route)
        parent = self._running_requests.find_parent(request.attempt_id)
        kilobytes = max(len(body), request.body_length) / 1024 + routing_state.answer_kilobytes(
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
            routing_state,
        )
        now = time.monotonic()
        routing_state.note_request(upstream, now)
        owner = routing_state.view.owners.get(upstream)
        table = routing_state.view.table
        upstream_settings = table.upstreams.get(upstream) if table is not None else None
        head = make_head(request, route, upstream, upstream_settings, self.caller, body, is_whole)
        head.config_version = table.number if table is not None else 0
        head.owner_epoch = owner.epoch if owner is not None else 0
        if parent is not None:
            # Work was already done for the calling request, so its nested calls have priority.
            head.priority = 0
            head.repeat_run = parent.is_retry
            if parent.is_retry:
                routing_state.note_retry(upstream, now)
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
        conclusion = _CANCELLED
        open_hops = OpenHops()
        try:
            while not isinstance(step := decision.next_step(time.monotonic()), Conclude):
                # A fully buffered body can be sent again from its beginning.
                sent: ForwardedRequest = (
                    BufferedRequest(request, body) if is_whole and head.body_follows else request
                )
                result = await self._hop(step, head, sent, decision, body_limit, span)
                decision.note(step.target, result)
                open_hops.note(result)
            conclusion = step
            if step.step != ANSWERED_STEP:
                # A peer's silence alone is no reason to give up before the deadline.
                answer = await open_hops.wait_for_answer(deadline)
                conclusion = Conclude(answer, ANSWERED_STEP) if answer is not None else step
        finally:
            open_hops.close(conclusion.answer)
            routing_state.traffic.note(
                route.name, conclusion.answer.status, time.monotonic() - request.arrived, kilobytes
            )
            if tracer is not None and span is not None:
                tracer.finish_request(
                    span, conclusion.answer.status, conclusion.step, decision.may_have_run
                )
        if conclusion.answer.status >= 500 and conclusion.step != ANSWERED_STEP:
            log.info(
                "request failed",
                attempt=request.attempt_id,
                step=conclusion.step,
                status=conclusion.answer.status,
                upstream=upstream,
            )
        if conclusion.answer.status < 300:
            routing_state.note_answer(route.name, len(conclusion.answer.body) / 1024)
        if conclusion.answer.pipe is not None:
            return conclusion.answer._replace(deadline=deadline)
        return conclusion.answer

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
        # Later than any deadline, lateness costs nothing: a larger target means the same.
        aim_left_ms = int(offer.latency_target_seconds * 1000)
        head.aim_left_ms = max(-MAX_AIM_MS, min(MAX_AIM_MS, aim_left_ms))
        head.attempt_number = offer.attempt_number
        head.last_resort = offer.is_last_resort
        routing_state = self._routing_state
        # Any attempt after the first counts as a retry.
        if offer.attempt_number > 1:
            routing_state.note_retry(target.upstream, time.monotonic())
        permit = routing_state.begin(target, decision.latency_target, head.attempt_id)
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
            routing_state.end(target, permit, result, decision.latency_target)
            if tracer is not None and hop is not None:
                tracer.finish_hop(hop, result)

    def may_run_concurrently(self, request: ClientRequest) -> bool:
        """Whether a pipelined request may run before earlier ones are answered.

        True only for read-only routes, whose requests may be repeated.  The HTTP method
        is not considered, as it does not show that.
        """
        table = self._routing_state.view.table
        route = table.find(request.host, request.path) if table is not None else None
        return route is not None and route.kind == wire_names.READ_ONLY

    def _find_route(self, request: ClientRequest, table: RouteTable) -> Route | Answer:
        """Returns the route of the request, or the answer that refuses it."""
        refusal = find_malformed(request)
        if refusal is not None:
            return refusal
        route = table.find(request.host, request.path)
        if route is None:
            route = self._routing_state.view.find_partner_route(
                request.host, request.path, time.monotonic()
            )
        if route is None:
            return own_answer(404, "no route", request.attempt_id)
        return route

    def _pick_upstream(self, route: Route) -> str:
        if len(route.upstreams) == 1:
            return route.upstreams[0]
        return self._random.choices(route.upstreams, route.weights)[0]
