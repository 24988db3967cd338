"""Holds the traces assigned to one registry, in bounded memory.

Spans stay in their packed form.  A trace that any node shed is dropped as a
whole, and its later spans are ignored.
"""

import itertools
import zlib
from collections.abc import Iterator
from typing import NamedTuple

from marblefold.inner_protocol.messages import messages_pb2
from marblefold.request_path.outcome import HopOutcome
from marblefold.tracing.context import KeepPriority
from marblefold.tracing.span import SpanKind

__all__ = ["CollectedSpan", "Collector", "DuplicateOrder"]

_MAX_SHED_IDS = 4096
# How many of the oldest traces are considered for an eviction.
_EVICTION_CANDIDATES = 64


class CollectedSpan(NamedTuple):
    """A span and the node that sent it; `address` is the node's HOST:PORT."""

    node: str
    zone: str
    address: str
    span: messages_pb2.Span


class DuplicateOrder(NamedTuple):
    """An order that was sent under several Attempt-Ids, and the trace id of each."""

    digest: bytes
    tries: dict[str, bytes]


class Collector:
    """Spans by trace; never blocks, and is used in the registry's event loop only."""

    def __init__(self, max_spans: int = 20_000) -> None:
        self.max_spans = max_spans
        self.span_count = 0
        self.dropped_traces = 0
        # By node: the number of spans that it had to drop.
        self.lost_spans: dict[str, int] = {}
        self._traces: dict[bytes, _Trace] = {}
        self._shed: dict[bytes, None] = {}
        self._trace_id_by_attempt: dict[str, bytes] = {}
        # For orders that may have been executed: digest -> Attempt-Id -> trace id.
        self._attempts_by_digest: dict[bytes, dict[str, bytes]] = {}

    def add_batch(self, batch: messages_pb2.SpanBatch) -> None:
        """Adds the spans of a batch, and drops the traces that its node shed."""
        self.lost_spans[batch.node] = batch.lost
        for trace_id in batch.shed:
            self._remove(trace_id)
            self._remember_shed(trace_id)
        for span in _unpack_batch(batch):
            if span.trace_id not in self._shed:
                self._add_span(batch, span)
        while self.span_count > self.max_spans:
            self._evict()

    def find_spans(self, trace_id: bytes) -> list[CollectedSpan]:
        """Returns the spans held for a trace."""
        trace = self._traces.get(trace_id)
        return [_unpack_row(row) for row in trace.rows.values()] if trace is not None else []

    def find_trace_id(self, attempt_id: str) -> bytes | None:
        """Returns the trace id for an Attempt-Id, or None if unknown."""
        return self._trace_id_by_attempt.get(attempt_id)

    def is_shed(self, trace_id: bytes) -> bool:
        """Whether the trace was shed by a node or evicted here."""
        return trace_id in self._shed

    def newest(self) -> Iterator[bytes]:
        """Iterates over the ids of the traces held, newest first."""
        return reversed(self._traces)

    def duplicate_orders(self) -> Iterator[DuplicateOrder]:
        """Iterates over the orders that may have been executed under several Attempt-Ids."""
        for digest, tries in self._attempts_by_digest.items():
            if len(tries) > 1:
                yield DuplicateOrder(digest, dict(tries))

    def _add_span(self, batch: messages_pb2.SpanBatch, span: messages_pb2.Span) -> None:
        trace = self._traces.get(span.trace_id)
        if trace is None:
            trace = self._traces[span.trace_id] = _Trace()
        if span.span_id not in trace.rows:
            self.span_count += 1
        trace.rows[span.span_id] = (batch.node, batch.zone, batch.address, span.SerializeToString())
        trace.keep = max(trace.keep, span.keep)
        if span.kind != SpanKind.REQUEST:
            return
        # A span may be sent again.
        if span.attempt_id not in trace.attempt_ids:
            trace.attempt_ids.append(span.attempt_id)
        self._trace_id_by_attempt[span.attempt_id] = span.trace_id
        may_have_run = span.outcome == HopOutcome.UNKNOWN or (
            span.outcome == HopOutcome.ANSWERED and span.status < 300
        )
        if span.digest and may_have_run:
            trace.digests.append(span.digest)
            self._attempts_by_digest.setdefault(span.digest, {})[span.attempt_id] = span.trace_id

    def _remove(self, trace_id: bytes) -> None:
        trace = self._traces.pop(trace_id, None)
        if trace is None:
            return
        self.span_count -= len(trace.rows)
        for digest in trace.digests:
            tries = self._attempts_by_digest.get(digest, {})
            for attempt_id in trace.attempt_ids:
                tries.pop(attempt_id, None)
            if not tries:
                self._attempts_by_digest.pop(digest, None)
        for attempt_id in trace.attempt_ids:
            self._trace_id_by_attempt.pop(attempt_id, None)

    def _evict(self) -> None:
        """Drops the oldest unmarked trace among the oldest ones, or else the oldest."""
        oldest = list(itertools.islice(self._traces, _EVICTION_CANDIDATES))
        trace_id = min(oldest, key=lambda key: self._traces[key].keep >= KeepPriority.MARKED)
        self._remove(trace_id)
        self.dropped_traces += 1
        # Spans of it that arrive later must not appear as an incomplete trace.
        self._remember_shed(trace_id)

    def _remember_shed(self, trace_id: bytes) -> None:
        self._shed[trace_id] = None
        if len(self._shed) > _MAX_SHED_IDS:
            del self._shed[next(iter(self._shed))]


class _Trace:
    """The packed spans of one trace, and the keys under which it is indexed."""

    __slots__ = ("rows", "keep", "attempt_ids", "digests")

    def __init__(self) -> None:
        self.rows: dict[bytes, tuple[str, str, str, bytes]] = {}
        self.keep = 0
        self.attempt_ids: list[str] = []
        self.digests: list[bytes] = []


def _unpack_batch(batch: messages_pb2.SpanBatch) -> list[messages_pb2.Span]:
    """Returns the spans of a batch, compressed or not."""
    if not batch.compressed_spans:
        return list(batch.spans)
    return list(messages_pb2.SpanBatch.FromString(zlib.decompress(batch.compressed_spans)).spans)


def _unpack_row(row: tuple[str, str, str, bytes]) -> CollectedSpan:
    node, zone, address, packed = row
    return CollectedSpan(node, zone, address, messages_pb2.Span.FromString(packed))
