"""One step of a request at one node, small and of a fixed shape."""

import enum

from marblefold.inner_protocol.messages import kinds
from marblefold.tracing.context import Keep, TraceContext

__all__ = ["Span", "SpanKind", "pack_span"]

_LONGEST_TEXT = 64


class SpanKind(enum.IntEnum):
    """Which step of a request it is."""

    # The request as a client, or a target in the midst of a run, sent it.
    REQUEST = 1
    # One hop to a target, as its sender saw it.
    HOP = 2
    # The hop at the guard beside the target.
    SERVE = 3


class Span:
    """Begun, filled in as the step goes on, and finished once."""

    __slots__ = (
        "trace_id",
        "span_id",
        "parent",
        "kind",
        "keep",
        "attempt_id",
        "route",
        "upstream",
        "target",
        "peer",
        "started",
        "ended",
        "outcome",
        "status",
        "step",
        "attempt",
        "queued",
        "body_bytes",
        "digest",
        "is_inferred",
    )

    def __init__(
        self,
        context: TraceContext,
        span_id: bytes,
        kind: SpanKind,
        attempt_id: str,
        upstream: str,
        started: float,
    ) -> None:
        self.trace_id = context.trace_id
        self.span_id = span_id
        self.parent = context.span_id
        self.kind = kind
        self.keep = context.keep
        self.attempt_id = attempt_id
        self.route = ""
        self.upstream = upstream
        self.target = ""
        self.peer = ""
        self.started = started
        self.ended = 0.0
        self.outcome = 0
        self.status = 0
        self.step = ""
        self.attempt = 0
        self.queued = 0.0
        self.body_bytes = 0
        self.digest = b""
        self.is_inferred = False

    @property
    def context(self) -> TraceContext:
        """What travels with work done for this span."""
        return TraceContext(self.trace_id, self.span_id, self.keep)

    def raise_keep(self, keep: Keep) -> None:
        """The trace turned out dearer than it began."""
        if keep > self.keep:
            self.keep = keep


def pack_span(span: Span, epoch_offset: float) -> kinds.Span:
    """The span as it is sent; the offset leads from the steady clock to the day's."""
    return kinds.Span(
        trace_id=span.trace_id,
        span_id=span.span_id,
        parent=span.parent,
        kind=span.kind,
        attempt_id=span.attempt_id[:_LONGEST_TEXT],
        route=span.route[:_LONGEST_TEXT],
        upstream=span.upstream[:_LONGEST_TEXT],
        target=span.target[:_LONGEST_TEXT],
        start_us=max(0, int((span.started + epoch_offset) * 1e6)),
        duration_us=max(0, int((span.ended - span.started) * 1e6)) if span.ended else 0,
        outcome=span.outcome,
        status=span.status,
        step=span.step[:_LONGEST_TEXT],
        attempt=span.attempt,
        queued_us=int(span.queued * 1e6),
        body_bytes=span.body_bytes,
        digest=span.digest,
        keep=span.keep,
        inferred=span.is_inferred,
        peer=span.peer,
    )
