"""Spans: each records one step of a request at one node in a fixed set of fields."""

import enum

from marblefold.inner_protocol.messages import messages_pb2
from marblefold.tracing.context import KeepPriority, TraceContext

__all__ = ["Span", "SpanKind", "pack_span"]

_MAX_TEXT_LENGTH = 64


class SpanKind(enum.IntEnum):
    """Which step of a request a span describes."""

    # The request as sent by a client, or by a target while it executes another.
    REQUEST = 1
    # A hop to a target, as seen by its sender.
    HOP = 2
    # The same hop, as seen by the guard beside the target.
    SERVE = 3


class Span:
    """A span in progress or ended; times are in seconds on the steady clock."""

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
        "queued_seconds",
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
        self.queued_seconds = 0.0
        self.body_bytes = 0
        self.digest = b""
        self.is_inferred = False

    @property
    def context(self) -> TraceContext:
        """The trace context for child spans."""
        return TraceContext(self.trace_id, self.span_id, self.keep)

    def raise_keep(self, keep: KeepPriority) -> None:
        """Raises the priority to keep the trace; never lowers it."""
        if keep > self.keep:
            self.keep = keep


def pack_span(span: Span, epoch_offset: float) -> messages_pb2.Span:
    """Converts a span to a message; `epoch_offset` is wall clock minus steady clock, in seconds."""
    return messages_pb2.Span(
        trace_id=span.trace_id,
        span_id=span.span_id,
        parent=span.parent,
        kind=span.kind,
        attempt_id=span.attempt_id[:_MAX_TEXT_LENGTH],
        route=span.route[:_MAX_TEXT_LENGTH],
        upstream=span.upstream[:_MAX_TEXT_LENGTH],
        target=span.target[:_MAX_TEXT_LENGTH],
        start_us=max(0, int((span.started + epoch_offset) * 1e6)),
        duration_us=max(0, int((span.ended - span.started) * 1e6)) if span.ended else 0,
        outcome=span.outcome,
        status=span.status,
        step=span.step[:_MAX_TEXT_LENGTH],
        attempt=span.attempt,
        queued_us=int(span.queued_seconds * 1e6),
        body_bytes=span.body_bytes,
        digest=span.digest,
        keep=span.keep,
        inferred=span.is_inferred,
        peer=span.peer,
    )
