"""Holds the spans of this node: a ring buffer, and an outbox of those to be sent.

Pure: nothing here waits or sends.  Both are bounded: a burst drops older spans
and never takes more memory.
"""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from marblefold.tracing.context import Keep, shed_order
from marblefold.tracing.span import Span

__all__ = ["Batch", "Recorder", "RecorderConfig"]

# How many marked, and how many shed, traces are remembered.
_REMEMBERED = 1024


class RecorderConfig(NamedTuple):
    """Most spans in the ring and in the outbox."""

    ring: int = 1024
    outbox: int = 512


class Batch(NamedTuple):
    """Spans to send, and ids of traces that were shed."""

    spans: list[Span]
    shed: list[bytes]


class Recorder:
    """The spans of one node."""

    def __init__(
        self,
        config: RecorderConfig = RecorderConfig(),
        on_mark: Callable[[bytes, list[str]], None] = lambda trace_id, peers: None,
    ) -> None:
        # How many spans were dropped with their traces, for operators.
        self.lost = 0
        self._config = config
        self._on_mark = on_mark
        self._ring: deque[Span] = deque(maxlen=config.ring)
        self._open: dict[bytes, Span] = {}
        self._outbox: dict[bytes, list[Span]] = {}
        self._waiting = 0
        self._marked: dict[bytes, None] = {}
        self._shed: dict[bytes, None] = {}
        self._shed_unsent: list[bytes] = []

    @property
    def waiting(self) -> int:
        """How many spans wait to be sent."""
        return self._waiting

    def covered_seconds(self, now: float) -> float:
        """Seconds that the ring reaches back."""
        return now - self._ring[0].ended if self._ring else 0.0

    def begin(self, span: Span) -> Span:
        """Starts to track a span."""
        if span.trace_id in self._marked:
            span.raise_keep(Keep.MARKED)
        self._open[span.span_id] = span
        return span

    def find_open(self, span_id: bytes) -> Span | None:
        """A span in progress at this node."""
        return self._open.get(span_id)

    def finish(self, span: Span, now: float) -> None:
        """Ends a span: it goes to the outbox if it is kept, else to the ring."""
        if self._open.pop(span.span_id, None) is None:
            return
        span.ended = now
        if span.trace_id in self._marked:
            span.raise_keep(Keep.MARKED)
        if span.keep is Keep.NOT:
            self._ring.append(span)
        else:
            self._put(span)

    def mark(self, trace_id: bytes) -> None:
        """Keeps all spans of this trace, here and on the peers of its hops."""
        if trace_id in self._marked:
            return
        _remember(self._marked, trace_id)
        found = [span for span in self._ring if span.trace_id == trace_id]
        for span in found:
            span.raise_keep(Keep.MARKED)
            self._ring.remove(span)
            self._put(span)
        under_way = [span for span in self._open.values() if span.trace_id == trace_id]
        for span in under_way:
            span.raise_keep(Keep.MARKED)
        waiting = self._outbox.get(trace_id, [])
        for span in waiting:
            span.raise_keep(Keep.MARKED)
        peers = {span.peer for span in found + under_way + waiting if span.peer}
        self._on_mark(trace_id, sorted(peers))

    def take_shed(self, trace_id: bytes) -> None:
        """Drops what waits of a trace that was shed, here or elsewhere."""
        _remember(self._shed, trace_id)
        self._waiting -= len(self._outbox.pop(trace_id, ()))

    def take_batch(self, most: int) -> Batch:
        """At most `most` spans, whole traces of the highest priority first."""
        picked: list[Span] = []
        for trace_id in sorted(self._outbox, key=lambda key: self._order(key), reverse=True):
            if picked and len(picked) + len(self._outbox[trace_id]) > most:
                break
            picked.extend(self._outbox.pop(trace_id))
        self._waiting -= len(picked)
        shed, self._shed_unsent = self._shed_unsent, []
        return Batch(picked, shed)

    def give_back(self, batch: Batch) -> None:
        """Puts a batch that no registry accepted back, as far as there is room."""
        self._shed_unsent = batch.shed + self._shed_unsent
        del self._shed_unsent[:-_REMEMBERED]
        for span in batch.spans:
            self._put(span)

    def _put(self, span: Span) -> None:
        if span.trace_id in self._shed:
            return
        self._outbox.setdefault(span.trace_id, []).append(span)
        self._waiting += 1
        while self._waiting > self._config.outbox:
            self._shed_least()

    def _shed_least(self) -> None:
        """Drops the whole trace of the lowest priority; the same one on all nodes."""
        trace_id = min(self._outbox, key=lambda key: self._order(key))
        self.lost += len(self._outbox[trace_id])
        self.take_shed(trace_id)
        self._shed_unsent.append(trace_id)
        del self._shed_unsent[:-_REMEMBERED]

    def _order(self, trace_id: bytes) -> tuple[int, bytes]:
        return shed_order(max(span.keep for span in self._outbox[trace_id]), trace_id)


def _remember(known: dict[bytes, None], trace_id: bytes) -> None:
    known[trace_id] = None
    if len(known) > _REMEMBERED:
        del known[next(iter(known))]
