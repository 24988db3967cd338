"""The traces assigned to one registry, in bounded memory.

Spans are held as received; a trace that any node shed is dropped as a whole
and stays dropped.
"""

import itertools
import zlib
from collections.abc import Iterator
from typing import NamedTuple

from marblefold.inner_protocol.messages import kinds
from marblefold.request_path.outcome import HopOutcome
from marblefold.tracing.context import Keep
from marblefold.tracing.span import SpanKind

__all__ = ["CollectedSpan", "Collector", "Doubled"]

_REMEMBERED_SHED = 4096
# How many of the oldest traces are compared when one is evicted.
_LOOKED_AT = 64


class CollectedSpan(NamedTuple):
    """A span and the node that sent it."""

    node: str
    zone: str
    address: str
    span: kinds.Span


class Doubled(NamedTuple):
    """One order that came under several Attempt-Ids, and the trace of each."""

    digest: bytes
    tries: dict[str, bytes]


class Collector:
    """Spans by trace; used only in the registry's event loop, never waits."""

    def __init__(self, most_spans: int = 20_000) -> None:
        self.most_spans = most_spans
        self.spans = 0
        self.dropped = 0
        # By node: how many spans it had to drop.
        self.lost: dict[str, int] = {}
        self._traces: dict[bytes, _Trace] = {}
        self._shed: dict[bytes, None] = {}
        self._attempts: dict[str, bytes] = {}
        # Orders that may have run: digest to Attempt-Id to trace id.
        self._tries: dict[bytes, dict[str, bytes]] = {}

    def add_batch(self, batch: kinds.SpanBatch) -> None:
        """Adds the spans of a batch and drops the traces that the node shed."""
        self.lost[batch.node] = batch.lost
        for trace_id in batch.shed:
            self._drop(trace_id)
            self._remember_shed(trace_id)
        for span in _expand(batch):
            if span.trace_id not in self._shed:
                self._put(batch, span)
        while self.spans > self.most_spans:
            self._evict()

    def find(self, trace_id: bytes) -> list[CollectedSpan]:
        """The spans held of one trace."""
        trace = self._traces.get(trace_id)
        return [_read(row) for row in trace.rows.values()] if trace is not None else []

    def find_attempt(self, attempt_id: str) -> bytes | None:
        """The trace id of a request, by its Attempt-Id."""
        return self._attempts.get(attempt_id)

    def is_shed(self, trace_id: bytes) -> bool:
        """Whether the trace was shed, here or by some node."""
        return trace_id in self._shed

    def newest(self) -> Iterator[bytes]:
        """The traces held, the newest first."""
        return reversed(self._traces)

    def doubled(self) -> Iterator[Doubled]:
        """Orders that may have run under more than one id."""
        for digest, tries in self._tries.items():
            if len(tries) > 1:
                yield Doubled(digest, dict(tries))

    def _put(self, batch: kinds.SpanBatch, span: kinds.Span) -> None:
        trace = self._traces.get(span.trace_id)
        if trace is None:
            trace = self._traces[span.trace_id] = _Trace()
        if span.span_id not in trace.rows:
            self.spans += 1
        trace.rows[span.span_id] = (batch.node, batch.zone, batch.address, span.SerializeToString())
        trace.keep = max(trace.keep, span.keep)
        if span.kind != SpanKind.REQUEST:
            return
        trace.attempts.append(span.attempt_id)
        self._attempts[span.attempt_id] = span.trace_id
        may_have_run = span.outcome == HopOutcome.UNKNOWN or (
            span.outcome == HopOutcome.ANSWERED and span.status < 300
        )
        if span.digest and may_have_run:
            trace.digests.append(span.digest)
            self._tries.setdefault(span.digest, {})[span.attempt_id] = span.trace_id

    def _drop(self, trace_id: bytes) -> None:
        trace = self._traces.pop(trace_id, None)
        if trace is None:
            return
        self.spans -= len(trace.rows)
        for digest in trace.digests:
            tries = self._tries.get(digest, {})
            for attempt_id in trace.attempts:
                tries.pop(attempt_id, None)
            if not tries:
                self._tries.pop(digest, None)
        for attempt_id in trace.attempts:
            self._attempts.pop(attempt_id, None)

    def _evict(self) -> None:
        """Drops the oldest trace; of similar age, unmarked ones before marked ones."""
        oldest = list(itertools.islice(self._traces, _LOOKED_AT))
        trace_id = min(oldest, key=lambda key: self._traces[key].keep >= Keep.MARKED)
        self._drop(trace_id)
        self.dropped += 1
        # Its late spans must not appear as an incomplete trace.
        self._remember_shed(trace_id)

    def _remember_shed(self, trace_id: bytes) -> None:
        self._shed[trace_id] = None
        if len(self._shed) > _REMEMBERED_SHED:
            del self._shed[next(iter(self._shed))]


class _Trace:
    """The packed spans of one trace, and the keys it is found by."""

    __slots__ = ("rows", "keep", "attempts", "digests")

    def __init__(self) -> None:
        self.rows: dict[bytes, tuple[str, str, str, bytes]] = {}
        self.keep = 0
        self.attempts: list[str] = []
        self.digests: list[bytes] = []


def _expand(batch: kinds.SpanBatch) -> list[kinds.Span]:
    """The spans of a batch, compressed or not."""
    if not batch.compressed_spans:
        return list(batch.spans)
    return list(kinds.SpanBatch.FromString(zlib.decompress(batch.compressed_spans)).spans)


def _read(row: tuple[str, str, str, bytes]) -> CollectedSpan:
    node, zone, address, packed = row
    return CollectedSpan(node, zone, address, kinds.Span.FromString(packed))
