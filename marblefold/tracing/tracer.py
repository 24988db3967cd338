"""Begins and ends the spans of a node's requests and hops.

The decision to keep a trace is made here when its request begins.  If something
goes wrong later, the priority is raised and other nodes are notified.
"""

import hashlib
import random
import time
from typing import NamedTuple

from marblefold import wire_names
from marblefold.configuration.rows import Route
from marblefold.http_connections.heads import find_header
from marblefold.request_path.outcome import HopOutcome, HopResult
from marblefold.tracing.context import (
    KeepPriority,
    TraceContext,
    apply_sample_rate,
    format_traceparent,
    parse_traceparent,
)
from marblefold.tracing.recorder import Recorder
from marblefold.tracing.span import Span, SpanKind

__all__ = ["TraceSettings", "Tracer"]

_NO_PARENT = bytes(8)
_MAX_RECENT_ORDERS = 512
_BURST_SECONDS = 5.0
_TRACEPARENT = b"traceparent"


class TraceSettings(NamedTuple):
    """How many traces are kept, from the flags; `sample_rate` is 0 to 1."""

    sample_rate: float = 0.0
    kept_per_second: float = 20.0
    # Keys the digests of bodies, so that a digest does not reveal its body.
    digest_key: bytes = b""


class Tracer:
    """Records spans; the executor and the guard call it at each step."""

    def __init__(
        self,
        recorder: Recorder,
        settings: TraceSettings,
        own_address: str,
        seed: int | None = None,
    ) -> None:
        self.recorder = recorder
        self.own_address = own_address
        self._settings = settings
        self._random = random.Random(seed)
        self._tokens = settings.kept_per_second * _BURST_SECONDS
        self._refilled = 0.0
        self._recent_orders: dict[bytes, Span] = {}

    def begin_request(
        self,
        request,
        route: Route,
        upstream: str,
        parent_span: Span | None,
        caller: str,
        body: bytes,
        is_whole: bool,
    ) -> Span:
        """Begins the span of a request from a client, or from the target during an execution."""
        context, is_inferred = self._find_context(request, route, parent_span)
        span = self._new_span(
            context, SpanKind.REQUEST, request.attempt_id, upstream, request.arrived
        )
        span.route, span.is_inferred = route.name, is_inferred
        span.body_bytes = len(body)
        if route.kind != wire_names.READ_ONLY and is_whole:
            span.digest = self._digest(caller, route.name, request.path, body)
        return self.recorder.begin(span)

    def finish_request(self, span: Span, status: int, step: str, may_have_run: bool) -> None:
        """Ends the span of a request, at its final answer or when its client is gone (status 0)."""
        span.status, span.step = status, step
        span.outcome = _classify_outcome(status, may_have_run)
        if self._needs_attention(span):
            self._mark(span.trace_id)
        self._track_order(span)
        self.recorder.finish(span, time.monotonic())

    def begin_hop(self, span: Span, head, instance: str, peer: str, attempt: int) -> Span:
        """Begins the span of a hop, and writes the trace context into the hop's head."""
        hop = self._new_span(
            span.context, SpanKind.HOP, span.attempt_id, span.upstream, time.monotonic()
        )
        hop.route, hop.target, hop.peer, hop.attempt = span.route, instance, peer, attempt
        self.recorder.begin(hop)
        head.trace_id, head.parent_span, head.trace_keep = hop.trace_id, hop.span_id, hop.keep
        head.trace_peer = self.own_address
        if attempt > 1:
            # On a retry, the outcome of the first attempt is of interest too.
            self._mark(hop.trace_id)
            head.trace_keep = hop.keep
        return hop

    def finish_hop(self, hop: Span, result: HopResult) -> None:
        """Ends the span of a hop."""
        hop.outcome, hop.step = int(result.outcome), result.step
        hop.status = result.answer.status if result.answer is not None else 0
        self.recorder.finish(hop, time.monotonic())

    def begin_serve(self, head) -> Span:
        """Begins the span of a hop that arrived at the guard."""
        context = TraceContext(
            head.trace_id, head.parent_span, KeepPriority(min(head.trace_keep, 4))
        )
        span = self._new_span(
            context, SpanKind.SERVE, head.attempt_id, head.upstream, time.monotonic()
        )
        span.target, span.peer, span.attempt = (
            head.expected_instance,
            head.trace_peer,
            head.attempt_number,
        )
        if _TRACEPARENT in head.header_block.lower():
            head.header_block = _replace_traceparent(head.header_block, span.context)
        return self.recorder.begin(span)

    def finish_serve(self, span: Span, answer, body_bytes: int) -> None:
        """Ends the guard's span of a hop; a hop without an answer was aborted."""
        span.body_bytes = body_bytes
        if answer is None:
            span.outcome, span.step = int(HopOutcome.UNKNOWN), "aborted"
        else:
            span.outcome, span.step, span.status = answer.outcome, answer.step, answer.status
        self.recorder.finish(span, time.monotonic())

    def _new_span(
        self,
        context: TraceContext,
        kind: SpanKind,
        attempt_id: str,
        upstream: str,
        now: float,
    ) -> Span:
        span_id = self._random.getrandbits(64).to_bytes(8, "big")
        return Span(context, span_id, kind, attempt_id, upstream, now)

    def _find_context(
        self,
        request,
        route: Route,
        parent_span: Span | None,
    ) -> tuple[TraceContext, bool]:
        """Returns the context of a request, and whether it was inferred from an execution."""
        header = find_header(request.headers, _TRACEPARENT)
        parsed = parse_traceparent(header.decode("latin-1")) if header is not None else None
        if parsed is not None:
            trace_id, parent, is_sampled = parsed
            execution = self.recorder.find_open(parent)
            if execution is not None and execution.trace_id == trace_id:
                return execution.context, False
            keep = max(
                self._initial_keep(route, trace_id),
                KeepPriority.SAMPLE if is_sampled else KeepPriority.NONE,
            )
            return TraceContext(trace_id, parent, self._apply_rate_limit(keep)), False
        if parent_span is not None:
            return parent_span.context, True
        trace_id = self._random.getrandbits(128).to_bytes(16, "big")
        keep = self._apply_rate_limit(self._initial_keep(route, trace_id))
        return TraceContext(trace_id, _NO_PARENT, keep), False

    def _initial_keep(self, route: Route, trace_id: bytes) -> KeepPriority:
        keep = {
            wire_names.MUTATING: KeepPriority.ORDER,
            wire_names.UPLOAD: KeepPriority.UPLOAD,
        }.get(route.kind, KeepPriority.SAMPLE)
        return apply_sample_rate(trace_id, keep, self._settings.sample_rate)

    def _apply_rate_limit(self, keep: KeepPriority) -> KeepPriority:
        """Returns NONE if this node exceeds its rate of kept traces (a token bucket)."""
        if keep is KeepPriority.NONE:
            return keep
        now = time.monotonic()
        rate = self._settings.kept_per_second
        self._tokens = min(rate * _BURST_SECONDS, self._tokens + rate * (now - self._refilled))
        self._refilled = now
        if self._tokens < 1.0:
            return KeepPriority.NONE
        self._tokens -= 1.0
        return keep

    def _mark(self, trace_id: bytes) -> None:
        if self._apply_rate_limit(KeepPriority.MARKED) is KeepPriority.MARKED:
            self.recorder.mark(trace_id)

    def _needs_attention(self, span: Span) -> bool:
        """Whether the trace is needed to explain what happened to the request."""
        may_run_twice = span.digest and span.outcome == HopOutcome.UNKNOWN
        return bool(may_run_twice or span.step in ("body too slow", "body not whole"))

    def _track_order(self, span: Span) -> None:
        """Remembers an order; marks both traces if it came before under another Attempt-Id."""
        if not span.digest or span.outcome not in (HopOutcome.ANSWERED, HopOutcome.UNKNOWN):
            return
        earlier = self._recent_orders.pop(span.digest, None)
        if earlier is not None and earlier.attempt_id != span.attempt_id:
            self._mark(earlier.trace_id)
            self._mark(span.trace_id)
        self._recent_orders[span.digest] = span
        if len(self._recent_orders) > _MAX_RECENT_ORDERS:
            del self._recent_orders[next(iter(self._recent_orders))]

    def _digest(self, caller: str, route: str, path: str, body: bytes) -> bytes:
        digest = hashlib.blake2b(body, digest_size=8, key=self._settings.digest_key[:64])
        digest.update(f"|{caller}|{route}|".encode())
        if not body:
            # Without a body, the path identifies the order.
            digest.update(path.encode("utf-8", "surrogateescape"))
        return digest.digest()


def _classify_outcome(status: int, may_have_run: bool) -> int:
    if status in (502, 504) or status == 0:
        return int(HopOutcome.UNKNOWN if may_have_run else HopOutcome.NEVER_OFFERED)
    if status in (408, 421, 429, 503):
        return int(HopOutcome.NEVER_OFFERED)
    return int(HopOutcome.ANSWERED)


def _replace_traceparent(block: bytes, context: TraceContext) -> bytes:
    lines = [
        line
        for line in block.split(b"\r\n")
        if line and not line.lower().startswith(_TRACEPARENT + b":")
    ]
    lines.append(b"traceparent: " + format_traceparent(context).encode())
    return b"\r\n".join(lines) + b"\r\n"
