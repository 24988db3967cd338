"""Probes the health of the local target when its heartbeats are not sufficient."""

import asyncio
import time
from collections.abc import Callable

from marblefold.logs import log
from marblefold.node_config.reading import NodeConfig
from marblefold.proxy.health_probe import fetch_health
from marblefold.request_path.cold_start import ColdStartLimiter
from marblefold.request_path.local_target import LocalTarget, TargetState
from marblefold.request_path.mesh_view import MeshView
from marblefold.task_keeper import TaskKeeper

__all__ = ["TargetProber"]

_TABLE_POLL_INTERVAL_SECONDS = 0.05


class TargetProber:
    """Probes at the start, when the evacuation of the zone ends, and when the limiter needs it."""

    def __init__(
        self,
        read_config: Callable[[], NodeConfig],
        view: MeshView,
        target: LocalTarget,
        cold: ColdStartLimiter,
        tasks: TaskKeeper,
    ) -> None:
        self._read_config = read_config
        self._view = view
        self._target = target
        self._cold = cold
        self._tasks = tasks
        cold.on_probe_needed = self.probe
        view.on_evacuation = self.on_evacuation

    async def run(self) -> None:
        """Probes the target once after the start, since it may already be running."""
        while self._view.table is None:
            await asyncio.sleep(_TABLE_POLL_INTERVAL_SECONDS)
        # Also after a first heartbeat, which may have been delayed by several seconds.
        if self._target.state is TargetState.UNKNOWN or self._cold.is_uncertain:
            self.probe()

    def on_evacuation(self, zone: str, is_on: bool) -> None:
        """Probes the target when the evacuation of its zone ends.

        The target may have gone cold during the evacuation without being noticed.
        """
        if is_on or zone != self._read_config().zone:
            return
        self._cold.mark_uncertain(time.monotonic(), "zone taken back")
        if self._target.state is TargetState.READY:
            self.probe()

    def probe(self) -> None:
        """Probes the target if the configuration contains its health check path."""
        table = self._view.table
        known = table.upstreams.get(self._read_config().upstream) if table else None
        if known is not None:
            self._tasks.start(self._probe(known.health_check_path))

    async def _probe(self, path: str) -> None:
        config = self._read_config()
        requested_at = time.monotonic()
        if config.app_address is None or not self._cold.may_probe(requested_at):
            return
        health = await fetch_health(config.app_address, path)
        log.info("target probed", healthy=health is not None)
        if health is not None:
            self._target.apply_health(
                health.instance,
                config.upstream,
                config.zone,
                health.slots,
                health.cold,
                requested_at,
            )
