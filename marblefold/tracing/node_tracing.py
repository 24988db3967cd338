"""Sets up the parts of tracing that a proxy runs."""

import asyncio
from datetime import timedelta

from marblefold.background_tasks import BackgroundTasks
from marblefold.errors import MeshError
from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.messages import kinds, pack_message
from marblefold.inner_protocol.peer_connection_pool import PeerConnectionPool
from marblefold.node_config.reading import NodeConfig
from marblefold.program_flags import TraceOptions
from marblefold.proxy.registry_follower import RegistryFollower
from marblefold.request_path.mesh_view import MeshView
from marblefold.tracing.exporter import Exporter, ExporterConfig
from marblefold.tracing.recorder import Recorder, RecorderConfig
from marblefold.tracing.tracer import Tracer, TraceSettings

__all__ = ["NodeTracing"]

# How often a mark is sent to a peer that cannot be reached.
_MARK_TRIES = 2
_MARK_PAUSE = timedelta(milliseconds=500)
_OUTBOX_SECONDS = 8


class NodeTracing:
    """Recorder, tracer and exporter of one proxy, and the marks between proxies."""

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
        # Capacity of the outbox: spans that would wait longer than this are shed.
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
            ExporterConfig(spans=options.spans_per_second),
        )

    async def run(self) -> None:
        """Exports, for ever."""
        await self._exporter.run()

    def export_rest(self) -> None:
        """Sends all waiting spans, as this node is about to end."""
        while self.recorder.waiting:
            waiting = self.recorder.waiting
            self._exporter.export_now()
            if self.recorder.waiting >= waiting:
                return

    def take(self, message: object) -> None:
        """Handles a message of a peer, if it marks a trace."""
        if isinstance(message, kinds.TraceMark):
            self.recorder.mark(message.trace_id)

    def _on_mark(self, trace_id: bytes, peers: list[str]) -> None:
        """Tells the peers that hops of this trace touched to keep their spans too."""
        if self._peers is None:
            return
        for peer in peers:
            if peer != self._address:
                self._tasks.start(self._tell(self._peers, peer, trace_id))

    async def _tell(self, peers: PeerConnectionPool, peer: str, trace_id: bytes) -> None:
        payload = pack_message(kinds.TraceMark(trace_id=trace_id))
        for _ in range(_MARK_TRIES):
            try:
                connection = await peers.connect(peer)
            except MeshError:
                # It may be down: its spans are then shown as missing.
                await asyncio.sleep(_MARK_PAUSE.total_seconds())
                continue
            connection.send(FrameKind.NOTIFICATION, 0, payload)
            return
