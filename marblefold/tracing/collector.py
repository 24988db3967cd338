"""The traces that fall to one registry, in bounded memory.

Spans are held as they came; a trace that is shed anywhere is dropped whole
here, and stays dropped.
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
# So many of the oldest traces are compared when one has to go.
_LOOKED_AT = 64


class CollectedSpan(NamedTuple):
    """A span and the node that sent it."""

    node: str
    zone: str
    address: str
    span: kinds.Span


class Doubled(NamedTuple):
    """One order that came under several ids, and the trace of each."""

    digest: bytes
    tries: dict[str, bytes]


class Collector:
    """Owned by the registry's loop; nothing here waits."""

    def __init__(self, most_spans: int = 20_000) -> None:
        self.most_spans = most_spans
        self.spans = 0
        self.dropped = 0
        # What each node said it could not keep.
        self.lost: dict[str, int] = {}
        self._traces: dict[bytes, _Trace] = {}
        self._shed: dict[bytes, None] = {}
        self._attempts: dict[str, bytes] = {}
        # Orders that may have run, by what they have in common.
        self._tries: dict[bytes, dict[str, bytes]] = {}

    def take(self, batch: kinds.SpanBatch) -> None:
        """A node sent spans that it keeps."""
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
        """What is held of one trace."""
        trace = self._traces.get(trace_id)
        return [_read(row) for row in trace.rows.values()] if trace is not None else []

    def find_attempt(self, attempt_id: str) -> bytes | None:
        """The trace of a request, by its id."""
        return self._attempts.get(attempt_id)

    def is_shed(self, trace_id: bytes) -> bool:
        """Whether the trace was given up, here or by some node."""
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
        """The oldest goes, and marked ones after others that are about as old."""
        oldest = list(itertools.islice(self._traces, _LOOKED_AT))
        trace_id = min(oldest, key=lambda key: self._traces[key].keep >= Keep.MARKED)
        self._drop(trace_id)
        self.dropped += 1
        # Its late spans must not come back as a trace cut short.
        self._remember_shed(trace_id)

    def _remember_shed(self, trace_id: bytes) -> None:
        self._shed[trace_id] = None
        if len(self._shed) > _REMEMBERED_SHED:
            del self._shed[next(iter(self._shed))]


class _Trace:
    """The spans of one trace, packed, and what it is found by."""

    __slots__ = ("rows", "keep", "attempts", "digests")

    def __init__(self) -> None:
        self.rows: dict[bytes, tuple[str, str, str, bytes]] = {}
        self.keep = 0
        self.attempts: list[str] = []
        self.digests: list[bytes] = []


def _expand(batch: kinds.SpanBatch) -> list[kinds.Span]:
    """The spans of a batch, however they were sent."""
    if not batch.compressed_spans:
        return list(batch.spans)
    return list(kinds.SpanBatch.FromString(zlib.decompress(batch.compressed_spans)).spans)


def _read(row: tuple[str, str, str, bytes]) -> CollectedSpan:
    node, zone, address, packed = row
    return CollectedSpan(node, zone, address, kinds.Span.FromString(packed))
