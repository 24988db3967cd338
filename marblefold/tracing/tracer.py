"""Begins and ends the spans of a node's requests, hops and runs.

Whether a trace is kept is decided here when its request begins.  The priority
is raised when something goes wrong with it, and other nodes are informed.
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
    Keep,
    TraceContext,
    format_traceparent,
    keep_of,
    parse_traceparent,
)
from marblefold.tracing.recorder import Recorder
from marblefold.tracing.span import Span, SpanKind

__all__ = ["TraceSettings", "Tracer"]

_NO_SPAN = bytes(8)
_KEPT_DIGESTS = 512
_BURST_SECONDS = 5.0
_TRACEPARENT = b"traceparent"


class TraceSettings(NamedTuple):
    """How much is kept, from the flags; `sample_rate` is 0 to 1."""

    sample_rate: float = 0.0
    kept_per_second: float = 20.0
    # Key of the digests of bodies, so that a digest does not reveal a body.
    digest_key: bytes = b""


class Tracer:
    """Called by executor and guard at each step."""

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
        self._tries: dict[bytes, Span] = {}

    def begin_request(
        self,
        request,
        route: Route,
        upstream: str,
        run_span: Span | None,
        caller: str,
        body: bytes,
        is_whole: bool,
    ) -> Span:
        """A request was sent by a client, or by the target during a run."""
        context, is_inferred = self._find_context(request, route, run_span)
        span = self._make(context, SpanKind.REQUEST, request.attempt_id, upstream, request.arrived)
        span.route, span.is_inferred = route.name, is_inferred
        span.body_bytes = len(body)
        if route.kind != wire_names.READ_ONLY and is_whole:
            span.digest = self._digest(caller, route.name, request.path, body)
        return self.recorder.begin(span)

    def finish_request(self, span: Span, status: int, step: str, may_have_run: bool) -> None:
        """The request has its final answer, or nobody waits for it any more (status 0)."""
        span.status, span.step = status, step
        span.outcome = _judge(status, may_have_run)
        if self._is_trouble(span):
            self._mark(span.trace_id)
        self._note_try(span)
        self.recorder.finish(span, time.monotonic())

    def begin_hop(self, span: Span, head, instance: str, peer: str, attempt: int) -> Span:
        """The request is offered to a target; writes the trace context into the hop's head."""
        hop = self._make(
            span.context, SpanKind.HOP, span.attempt_id, span.upstream, time.monotonic()
        )
        hop.route, hop.target, hop.peer, hop.attempt = span.route, instance, peer, attempt
        self.recorder.begin(hop)
        head.trace_id, head.parent_span, head.trace_keep = hop.trace_id, hop.span_id, hop.keep
        head.trace_peer = self.own_address
        if attempt > 1:
            # A repeated offer: the outcome of the first one will be of interest.
            self._mark(hop.trace_id)
            head.trace_keep = hop.keep
        return hop

    def finish_hop(self, hop: Span, result: HopResult) -> None:
        """The hop has ended."""
        hop.outcome, hop.step = int(result.outcome), result.step
        hop.status = result.answer.status if result.answer is not None else 0
        self.recorder.finish(hop, time.monotonic())

    def begin_serve(self, head) -> Span:
        """A hop arrived at the guard."""
        context = TraceContext(head.trace_id, head.parent_span, Keep(min(head.trace_keep, 4)))
        span = self._make(context, SpanKind.SERVE, head.attempt_id, head.upstream, time.monotonic())
        span.target, span.peer, span.attempt = (
            head.expected_instance,
            head.trace_peer,
            head.attempt_number,
        )
        if _TRACEPARENT in head.header_block.lower():
            head.header_block = _replace_traceparent(head.header_block, span.context)
        return self.recorder.begin(span)

    def finish_serve(self, span: Span, answer, body_bytes: int) -> None:
        """The guard has finished with the hop; without an answer it was aborted."""
        span.body_bytes = body_bytes
        if answer is None:
            span.outcome, span.step = int(HopOutcome.UNKNOWN), "aborted"
        else:
            span.outcome, span.step, span.status = answer.outcome, answer.step, answer.status
        self.recorder.finish(span, time.monotonic())

    def _make(
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
        run_span: Span | None,
    ) -> tuple[TraceContext, bool]:
        """The context of a request, and whether it was inferred from the run in progress."""
        header = find_header(request.headers, _TRACEPARENT)
        parsed = parse_traceparent(header.decode("latin-1")) if header is not None else None
        if parsed is not None:
            trace_id, parent, is_sampled = parsed
            run = self.recorder.find_open(parent)
            if run is not None and run.trace_id == trace_id:
                return run.context, False
            keep = max(self._first_keep(route, trace_id), Keep.SAMPLE if is_sampled else Keep.NOT)
            return TraceContext(trace_id, parent, self._afford(keep)), False
        if run_span is not None:
            return run_span.context, True
        trace_id = self._random.getrandbits(128).to_bytes(16, "big")
        keep = self._afford(self._first_keep(route, trace_id))
        return TraceContext(trace_id, _NO_SPAN, keep), False

    def _first_keep(self, route: Route, trace_id: bytes) -> Keep:
        keep = {wire_names.MUTATING: Keep.ORDER, wire_names.UPLOAD: Keep.UPLOAD}.get(
            route.kind, Keep.SAMPLE
        )
        return keep_of(trace_id, keep, self._settings.sample_rate)

    def _afford(self, keep: Keep) -> Keep:
        """Keep.NOT where this node has used up its rate of kept traces (token bucket)."""
        if keep is Keep.NOT:
            return keep
        now = time.monotonic()
        rate = self._settings.kept_per_second
        self._tokens = min(rate * _BURST_SECONDS, self._tokens + rate * (now - self._refilled))
        self._refilled = now
        if self._tokens < 1.0:
            return Keep.NOT
        self._tokens -= 1.0
        return keep

    def _mark(self, trace_id: bytes) -> None:
        if self._afford(Keep.MARKED) is Keep.MARKED:
            self.recorder.mark(trace_id)

    def _is_trouble(self, span: Span) -> bool:
        """Whether the outcome of the request will be of interest."""
        may_double = span.digest and span.outcome == HopOutcome.UNKNOWN
        return bool(may_double or span.step in ("body too slow", "body not whole"))

    def _note_try(self, span: Span) -> None:
        """Marks both traces where the same order came before under another Attempt-Id."""
        if not span.digest or span.outcome not in (HopOutcome.ANSWERED, HopOutcome.UNKNOWN):
            return
        earlier = self._tries.pop(span.digest, None)
        if earlier is not None and earlier.attempt_id != span.attempt_id:
            self._mark(earlier.trace_id)
            self._mark(span.trace_id)
        self._tries[span.digest] = span
        if len(self._tries) > _KEPT_DIGESTS:
            del self._tries[next(iter(self._tries))]

    def _digest(self, caller: str, route: str, path: str, body: bytes) -> bytes:
        digest = hashlib.blake2b(body, digest_size=8, key=self._settings.digest_key[:64])
        digest.update(f"|{caller}|{route}|".encode())
        if not body:
            # Without a body the path identifies the order.
            digest.update(path.encode("utf-8", "surrogateescape"))
        return digest.digest()


def _judge(status: int, may_have_run: bool) -> int:
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
