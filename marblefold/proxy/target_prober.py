"""Asks the target beside this proxy for its health when its heartbeats are not enough."""

import asyncio
import time
from collections.abc import Callable

from marblefold.background_tasks import BackgroundTasks
from marblefold.logs import log
from marblefold.node_config.reading import NodeConfig
from marblefold.proxy.health_probe import ask_health
from marblefold.request_path.cold_start import ColdStart
from marblefold.request_path.local_target import LocalTarget, TargetState
from marblefold.request_path.mesh_view import MeshView

__all__ = ["TargetProber"]

_TABLE_LOOK_SECONDS = 0.05


class TargetProber:
    """Probes at the start, when its zone is taken back, and when the limiter needs to know."""

    def __init__(
        self,
        read_config: Callable[[], NodeConfig],
        view: MeshView,
        target: LocalTarget,
        cold: ColdStart,
        tasks: BackgroundTasks,
    ) -> None:
        self._read_config = read_config
        self._view = view
        self._target = target
        self._cold = cold
        self._tasks = tasks
        cold.on_probe_wanted = self.probe
        view.on_evacuation = self.on_evacuation

    async def run(self) -> None:
        """After our own start the target may already be running: probes it once."""
        while self._view.table is None:
            await asyncio.sleep(_TABLE_LOOK_SECONDS)
        # Even if a heartbeat came first: that may have been on its way for long.
        if self._target.state is TargetState.UNKNOWN or self._cold.is_in_doubt:
            self.probe()

    def on_evacuation(self, zone: str, is_on: bool) -> None:
        """A zone is emptied or taken back; in ours the target may have gone cold unheard."""
        if is_on or zone != self._read_config().zone:
            return
        self._cold.doubt(time.monotonic(), "zone taken back")
        if self._target.state is TargetState.READY:
            self.probe()

    def probe(self) -> None:
        """Asks the target, if the configuration tells where its health is."""
        table = self._view.table
        known = table.upstreams.get(self._read_config().upstream) if table else None
        if known is not None:
            self._tasks.start(self._probe(known.health_check_path))

    async def _probe(self, path: str) -> None:
        config = self._read_config()
        asked_at = time.monotonic()
        if config.app_address is None or not self._cold.may_probe(asked_at):
            return
        health = await ask_health(config.app_address, path)
        log.info("target probed", healthy=health is not None)
        if health is not None:
            self._target.take_health(
                health.instance, config.upstream, config.zone, health.slots, health.cold, asked_at
            )
