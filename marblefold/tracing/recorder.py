"""Holds the spans of this node in a ring buffer, and spans to send in an outbox.

Performs no I/O and never blocks.  Both buffers are bounded, so a burst drops
spans instead of using more memory.
"""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from marblefold.tracing.context import KeepPriority, shed_order
from marblefold.tracing.span import Span

__all__ = ["Batch", "Recorder", "RecorderConfig"]

# Maximum number of marked trace ids remembered, and of shed ones.
_MAX_REMEMBERED_IDS = 1024


class RecorderConfig(NamedTuple):
    """Maximum number of spans in the ring buffer and in the outbox."""

    ring_capacity: int = 1024
    outbox_capacity: int = 512


class Batch(NamedTuple):
    """Spans to send, and the ids of shed traces."""

    spans: list[Span]
    shed: list[bytes]


class Recorder:
    """The spans of one node."""

    def __init__(
        self,
        config: RecorderConfig = RecorderConfig(),
        on_mark: Callable[[bytes, list[str]], None] = lambda trace_id, peers: None,
    ) -> None:
        # Number of spans dropped with their traces, reported to operators.
        self.lost_spans = 0
        self._config = config
        self._on_mark = on_mark
        self._ring: deque[Span] = deque(maxlen=config.ring_capacity)
        self._open: dict[bytes, Span] = {}
        self._outbox: dict[bytes, list[Span]] = {}
        self._waiting_count = 0
        self._marked: dict[bytes, None] = {}
        self._shed: dict[bytes, None] = {}
        self._shed_unsent: list[bytes] = []

    @property
    def waiting_count(self) -> int:
        """Number of spans in the outbox."""
        return self._waiting_count

    def covered_seconds(self, now: float) -> float:
        """Age of the oldest span in the ring buffer, in seconds; 0 if it is empty."""
        return now - self._ring[0].ended if self._ring else 0.0

    def begin(self, span: Span) -> Span:
        """Adds a span to the open spans."""
        if span.trace_id in self._marked:
            span.raise_keep(KeepPriority.MARKED)
        self._open[span.span_id] = span
        return span

    def find_open(self, span_id: bytes) -> Span | None:
        """Returns an open span of this node, or None."""
        return self._open.get(span_id)

    def finish(self, span: Span, now: float) -> None:
        """Ends a span and moves it to the outbox if it is kept, else to the ring buffer."""
        if self._open.pop(span.span_id, None) is None:
            return
        span.ended = now
        if span.trace_id in self._marked:
            span.raise_keep(KeepPriority.MARKED)
        if span.keep is KeepPriority.NONE:
            self._ring.append(span)
        else:
            self._enqueue(span)

    def mark(self, trace_id: bytes) -> None:
        """Keeps all spans of this trace, here and at the peers of its hops."""
        if trace_id in self._marked:
            return
        _remember(self._marked, trace_id)
        buffered = [span for span in self._ring if span.trace_id == trace_id]
        for span in buffered:
            span.raise_keep(KeepPriority.MARKED)
            self._ring.remove(span)
            self._enqueue(span)
        open_spans = [span for span in self._open.values() if span.trace_id == trace_id]
        for span in open_spans:
            span.raise_keep(KeepPriority.MARKED)
        waiting = self._outbox.get(trace_id, [])
        for span in waiting:
            span.raise_keep(KeepPriority.MARKED)
        peers = {span.peer for span in buffered + open_spans + waiting if span.peer}
        self._on_mark(trace_id, sorted(peers))

    def shed_trace(self, trace_id: bytes) -> None:
        """Drops the waiting spans of a shed trace, and ignores its later ones."""
        _remember(self._shed, trace_id)
        self._waiting_count -= len(self._outbox.pop(trace_id, ()))

    def take_batch(self, max_spans: int) -> Batch:
        """Removes and returns complete traces, highest priority first, up to `max_spans` spans.

        The first trace is returned even if it alone has more spans.
        """
        picked: list[Span] = []
        for trace_id in sorted(self._outbox, key=lambda key: self._priority_key(key), reverse=True):
            if picked and len(picked) + len(self._outbox[trace_id]) > max_spans:
                break
            picked.extend(self._outbox.pop(trace_id))
        self._waiting_count -= len(picked)
        shed, self._shed_unsent = self._shed_unsent, []
        return Batch(picked, shed)

    def requeue(self, batch: Batch) -> None:
        """Returns a batch that no registry accepted to the outbox, as far as there is room."""
        self._shed_unsent = batch.shed + self._shed_unsent
        del self._shed_unsent[:-_MAX_REMEMBERED_IDS]
        for span in batch.spans:
            self._enqueue(span)

    def _enqueue(self, span: Span) -> None:
        if span.trace_id in self._shed:
            return
        self._outbox.setdefault(span.trace_id, []).append(span)
        self._waiting_count += 1
        while self._waiting_count > self._config.outbox_capacity:
            self._shed_lowest()

    def _shed_lowest(self) -> None:
        """Drops the trace of the lowest priority; all nodes select the same one."""
        trace_id = min(self._outbox, key=lambda key: self._priority_key(key))
        self.lost_spans += len(self._outbox[trace_id])
        self.shed_trace(trace_id)
        self._shed_unsent.append(trace_id)
        del self._shed_unsent[:-_MAX_REMEMBERED_IDS]

    def _priority_key(self, trace_id: bytes) -> tuple[int, bytes]:
        return shed_order(max(span.keep for span in self._outbox[trace_id]), trace_id)


def _remember(ids: dict[bytes, None], trace_id: bytes) -> None:
    ids[trace_id] = None
    if len(ids) > _MAX_REMEMBERED_IDS:
        del ids[next(iter(ids))]
