"""Sends the kept spans of a node to the registries that collect their traces.

Runs outside the request path and sends a bounded number of spans per second.
Rendezvous hashing assigns each span to two registries, so that the loss of one
registry loses no trace.
"""

import asyncio
import time
import zlib
from collections.abc import Callable, Collection
from datetime import timedelta
from typing import NamedTuple

from marblefold.inner_protocol.messages import messages_pb2
from marblefold.tracing.recorder import Batch, Recorder
from marblefold.tracing.span import Span, pack_span

__all__ = ["Exporter", "ExporterConfig", "rank_collectors"]

_COPIES_PER_TRACE = 2


class ExporterConfig(NamedTuple):
    """How many spans this node sends at most, and how often."""

    # Collecting spans for several seconds means fewer batches, which compress better.
    interval: timedelta = timedelta(seconds=3)
    spans_per_second: int = 64


def rank_collectors(trace_id: bytes, registries: Collection[str]) -> list[str]:
    """Ranks the registries by rendezvous hashing of the id; the same on all nodes."""
    return sorted(
        registries, key=lambda registry: (zlib.crc32(trace_id + registry.encode()), registry)
    )


class Exporter:
    """Takes batches of spans from the recorder and sends them."""

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
        """Exports at the configured interval, forever."""
        while True:
            await asyncio.sleep(self._config.interval.total_seconds())
            self.export_now()

    def export_now(self) -> None:
        """Sends the next batch, with times by this node's wall clock."""
        self.export(time.time() - time.monotonic())

    def export(self, epoch_offset: float) -> None:
        """Sends the next batch; `epoch_offset` is wall clock minus steady clock, in seconds."""
        batch = self._recorder.take_batch(
            int(self._config.spans_per_second * self._config.interval.total_seconds())
        )
        if not batch.spans and not batch.shed:
            return
        registries = self._registries()
        messages: dict[str, messages_pb2.SpanBatch] = {}

        def message_for(registry: str) -> messages_pb2.SpanBatch:
            if registry not in messages:
                messages[registry] = messages_pb2.SpanBatch(
                    node=self._node,
                    zone=self._zone,
                    address=self._address,
                    lost=self._recorder.lost_spans,
                )
            return messages[registry]

        for span in batch.spans:
            packed = pack_span(span, epoch_offset)
            for registry in _find_collectors(span, registries):
                message_for(registry).spans.append(packed)
        for trace_id in batch.shed:
            # Sent to all registries, as any of them may hold earlier spans of the trace.
            for registry in registries:
                message_for(registry).shed.append(trace_id)
        accepted_by = {
            registry
            for registry, message in messages.items()
            if self._send(registry, _compress(message))
        }
        self._requeue_rejected(batch, accepted_by, registries)

    def _requeue_rejected(
        self, batch: Batch, accepted_by: set[str], registries: Collection[str]
    ) -> None:
        """Returns spans that no registry accepted to the recorder."""
        rejected = [
            span
            for span in batch.spans
            if not accepted_by & set(_find_collectors(span, registries))
        ]
        shed = batch.shed if not accepted_by else []
        if rejected or shed:
            self._recorder.requeue(Batch(rejected, shed))


def _compress(message: messages_pb2.SpanBatch) -> messages_pb2.SpanBatch:
    """Compresses the spans: they are similar, and requests share the links."""
    if message.spans:
        message.compressed_spans = zlib.compress(
            messages_pb2.SpanBatch(spans=message.spans).SerializeToString(), 6
        )
        del message.spans[:]
    return message


def _find_collectors(span: Span, registries: Collection[str]) -> list[str]:
    collectors = rank_collectors(span.trace_id, registries)[:_COPIES_PER_TRACE]
    if span.digest:
        # One registry sees all attempts of an order, though their traces differ.
        digest_collectors = rank_collectors(span.digest, registries)[:_COPIES_PER_TRACE]
        collectors.extend(registry for registry in digest_collectors if registry not in collectors)
    return collectors
