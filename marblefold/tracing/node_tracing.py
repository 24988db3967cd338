"""Assembles the tracing components that a proxy runs."""

import asyncio
from datetime import timedelta

from marblefold.background_tasks import BackgroundTasks
from marblefold.errors import MeshError
from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.messages import messages_pb2, pack_message
from marblefold.inner_protocol.peer_connection_pool import PeerConnectionPool
from marblefold.node_config.reading import NodeConfig
from marblefold.program_flags import TraceOptions
from marblefold.proxy.registry_follower import RegistryFollower
from marblefold.request_path.mesh_view import MeshView
from marblefold.tracing.exporter import Exporter, ExporterConfig
from marblefold.tracing.recorder import Recorder, RecorderConfig
from marblefold.tracing.tracer import Tracer, TraceSettings

__all__ = ["NodeTracing"]

# Attempts to send a mark to a peer that cannot be reached.
_MARK_ATTEMPTS = 2
_MARK_RETRY_DELAY = timedelta(milliseconds=500)
_OUTBOX_SECONDS = 8


class NodeTracing:
    """The recorder, tracer and exporter of one proxy, and the exchange of marks with peers."""

    def __init__(
        self,
        options: TraceOptions,
        config: NodeConfig,
        address: str,
        view: MeshView,
        follower: RegistryFollower,
        tasks: BackgroundTasks,
        peers: PeerConnectionPool | None = None,
    ) -> None:
        self._peers = peers
        self._tasks = tasks
        self._address = address
        # Limits the time that spans wait: those beyond this capacity are shed.
        outbox = options.spans_per_second * _OUTBOX_SECONDS
        self.recorder = Recorder(RecorderConfig(options.ring, outbox), self._on_mark)
        self.tracer = Tracer(
            self.recorder,
            TraceSettings(options.sample_rate, options.kept_per_second, config.trace_key.encode()),
            address,
        )
        self._exporter = Exporter(
            self.recorder,
            config.node_name,
            config.zone,
            address,
            lambda: view.registries,
            follower.send_to,
            ExporterConfig(spans_per_second=options.spans_per_second),
        )

    async def run(self) -> None:
        """Exports spans, forever."""
        await self._exporter.run()

    def export_remaining(self) -> None:
        """Sends all waiting spans before this node stops."""
        while self.recorder.waiting_count:
            waiting_before = self.recorder.waiting_count
            self._exporter.export_now()
            if self.recorder.waiting_count >= waiting_before:
                return

    def handle_message(self, message: object) -> None:
        """Marks the trace if the message is a TraceMark; ignores other messages."""
        if isinstance(message, messages_pb2.TraceMark):
            self.recorder.mark(message.trace_id)

    def _on_mark(self, trace_id: bytes, peers: list[str]) -> None:
        """Asks the peers on the hops of this trace to keep their spans too."""
        if self._peers is None:
            return
        for peer in peers:
            if peer != self._address:
                self._tasks.start(self._send_mark(self._peers, peer, trace_id))

    async def _send_mark(self, peers: PeerConnectionPool, peer: str, trace_id: bytes) -> None:
        payload = pack_message(messages_pb2.TraceMark(trace_id=trace_id))
        for _ in range(_MARK_ATTEMPTS):
            try:
                connection = await peers.connect(peer)
            except MeshError:
                # If the peer is down, its spans are shown as missing.
                await asyncio.sleep(_MARK_RETRY_DELAY.total_seconds())
                continue
            connection.send(FrameKind.NOTIFICATION, 0, payload)
            return
