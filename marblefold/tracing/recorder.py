"""Keeps what this node saw of requests: a ring of all, an outbox of what is kept.

Pure: nothing here waits or sends.  Both are bounded, so a burst costs old
records, never memory.
"""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from marblefold.tracing.context import Keep, shed_order
from marblefold.tracing.span import Span

__all__ = ["Batch", "Recorder", "RecorderConfig"]

# How many traces that were marked, or shed, are remembered.
_REMEMBERED = 1024


class RecorderConfig(NamedTuple):
    """The bounds of one node's records."""

    ring: int = 1024
    outbox: int = 512


class Batch(NamedTuple):
    """What is due to be sent."""

    spans: list[Span]
    shed: list[bytes]


class Recorder:
    """The spans of one node, by one function for every change of state."""

    def __init__(
        self,
        config: RecorderConfig = RecorderConfig(),
        on_mark: Callable[[bytes, list[str]], None] = lambda trace_id, peers: None,
    ) -> None:
        # Spans that could not be kept whole with their trace, for people.
        self.lost = 0
        self._config = config
        self._on_mark = on_mark
        self._ring: deque[Span] = deque(maxlen=config.ring)
        self._open: dict[bytes, Span] = {}
        self._outbox: dict[bytes, list[Span]] = {}
        self._waiting = 0
        self._marked: dict[bytes, None] = {}
        self._shed: dict[bytes, None] = {}
        self._shed_news: list[bytes] = []

    @property
    def waiting(self) -> int:
        """How many spans wait to be sent."""
        return self._waiting

    def covered_seconds(self, now: float) -> float:
        """How far back the ring reaches."""
        return now - self._ring[0].ended if self._ring else 0.0

    def begin(self, span: Span) -> Span:
        """A step begins."""
        if span.trace_id in self._marked:
            span.raise_keep(Keep.MARKED)
        self._open[span.span_id] = span
        return span

    def find_open(self, span_id: bytes) -> Span | None:
        """A step under way here."""
        return self._open.get(span_id)

    def finish(self, span: Span, now: float) -> None:
        """A step is over: it is kept, or stays in the ring until that turns."""
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
        """Keep all there is of this trace, here and wherever its hops went."""
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
        """This trace is given up, here or elsewhere: what there is of it goes."""
        _remember(self._shed, trace_id)
        self._waiting -= len(self._outbox.pop(trace_id, ()))

    def take_batch(self, most: int) -> Batch:
        """The dearest first, at most so many spans."""
        picked: list[Span] = []
        for trace_id in sorted(self._outbox, key=lambda key: self._order(key), reverse=True):
            if picked and len(picked) + len(self._outbox[trace_id]) > most:
                break
            picked.extend(self._outbox.pop(trace_id))
        self._waiting -= len(picked)
        shed, self._shed_news = self._shed_news, []
        return Batch(picked, shed)

    def give_back(self, batch: Batch) -> None:
        """Nobody took the batch: it waits again, as far as there is room."""
        self._shed_news = batch.shed + self._shed_news
        del self._shed_news[:-_REMEMBERED]
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
        """Whole traces go, by an order that all nodes share."""
        trace_id = min(self._outbox, key=lambda key: self._order(key))
        self.lost += len(self._outbox[trace_id])
        self.take_shed(trace_id)
        self._shed_news.append(trace_id)
        del self._shed_news[:-_REMEMBERED]

    def _order(self, trace_id: bytes) -> tuple[int, bytes]:
        return shed_order(max(span.keep for span in self._outbox[trace_id]), trace_id)


def _remember(known: dict[bytes, None], trace_id: bytes) -> None:
    known[trace_id] = None
    if len(known) > _REMEMBERED:
        del known[next(iter(known))]
