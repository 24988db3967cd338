"""Sends the kept spans of a node to the registries that their traces fall to.

It runs off the request path and sends a bounded number of spans per second,
each to two registries chosen by rendezvous hashing, so that the loss of one
registry loses no trace.
"""

import asyncio
import time
import zlib
from collections.abc import Callable, Collection
from datetime import timedelta
from typing import NamedTuple

from marblefold.inner_protocol.messages import kinds
from marblefold.tracing.recorder import Batch, Recorder
from marblefold.tracing.span import Span, pack_span

__all__ = ["Exporter", "ExporterConfig", "rank_collectors"]

_COPIES = 2


class ExporterConfig(NamedTuple):
    """How much this node sends, and how often."""

    # Batches of several seconds are fewer and compress better.
    every: timedelta = timedelta(seconds=3)
    # At most so many per second.
    spans: int = 64


def rank_collectors(trace_id: bytes, registries: Collection[str]) -> list[str]:
    """The registries ranked by rendezvous hashing of the id; the same on all nodes."""
    return sorted(
        registries, key=lambda registry: (zlib.crc32(trace_id + registry.encode()), registry)
    )


class Exporter:
    """Takes batches from the recorder and sends them."""

    def __init__(
        self,
        recorder: Recorder,
        node: str,
        zone: str,
        address: str,
        registries: Callable[[], Collection[str]],
        send: Callable[[str, object], bool],
        config: ExporterConfig = ExporterConfig(),
    ) -> None:
        self._recorder = recorder
        self._node = node
        self._zone = zone
        self._address = address
        self._registries = registries
        self._send = send
        self._config = config

    async def run(self) -> None:
        """Exports regularly, for ever."""
        while True:
            await asyncio.sleep(self._config.every.total_seconds())
            self.export_now()

    def export_now(self) -> None:
        """Sends what is due, with times by this node's wall clock."""
        self.export(time.time() - time.monotonic())

    def export(self, epoch_offset: float) -> None:
        """Sends what is due; `epoch_offset` is wall clock minus steady clock, in seconds."""
        batch = self._recorder.take_batch(
            int(self._config.spans * self._config.every.total_seconds())
        )
        if not batch.spans and not batch.shed:
            return
        registries = self._registries()
        parts: dict[str, kinds.SpanBatch] = {}

        def part(registry: str) -> kinds.SpanBatch:
            if registry not in parts:
                parts[registry] = kinds.SpanBatch(
                    node=self._node,
                    zone=self._zone,
                    address=self._address,
                    lost=self._recorder.lost,
                )
            return parts[registry]

        for span in batch.spans:
            packed = pack_span(span, epoch_offset)
            for registry in _find_collectors(span, registries):
                part(registry).spans.append(packed)
        for trace_id in batch.shed:
            # All are told, as any of them may hold earlier spans of it.
            for registry in registries:
                part(registry).shed.append(trace_id)
        taken = {
            registry
            for registry, message in parts.items()
            if self._send(registry, _compress(message))
        }
        self._give_back(batch, taken, registries)

    def _give_back(self, batch: Batch, taken: set[str], registries: Collection[str]) -> None:
        """Returns to the recorder the spans that no registry accepted."""
        untaken = [
            span for span in batch.spans if not taken & set(_find_collectors(span, registries))
        ]
        shed = batch.shed if not taken else []
        if untaken or shed:
            self._recorder.give_back(Batch(untaken, shed))


def _compress(message: kinds.SpanBatch) -> kinds.SpanBatch:
    """Compresses the spans: they are similar, and the links also carry requests."""
    if message.spans:
        message.compressed_spans = zlib.compress(
            kinds.SpanBatch(spans=message.spans).SerializeToString(), 6
        )
        del message.spans[:]
    return message


def _find_collectors(span: Span, registries: Collection[str]) -> list[str]:
    found = rank_collectors(span.trace_id, registries)[:_COPIES]
    if span.digest:
        # Tries of one order meet at a registry, whatever their traces.
        meeting = rank_collectors(span.digest, registries)[:_COPIES]
        found.extend(registry for registry in meeting if registry not in found)
    return found
