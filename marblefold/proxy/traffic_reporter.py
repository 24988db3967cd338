"""Reports periodically to the registries how many requests began at this node."""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta

from marblefold.node_config.model import NodeConfig
from marblefold.program_flags import read_traffic_period
from marblefold.proxy.registry_follower import RegistryFollower
from marblefold.request_path.traffic_count import TrafficCount

__all__ = ["TrafficReporter"]


class TrafficReporter:
    """Sends the traffic reports at the configured period."""

    def __init__(
        self,
        count: TrafficCount,
        follower: RegistryFollower,
        config: NodeConfig,
        service_seconds: Callable[[], float] = float,
        period: timedelta | None = None,
    ) -> None:
        self._count = count
        self._follower = follower
        self._config = config
        self._service_seconds = service_seconds
        self._period = read_traffic_period() if period is None else period

    async def run(self) -> None:
        """Sends reports forever, after a random delay that spreads the nodes over the period."""
        if not self._period:
            return
        await asyncio.sleep(random.random() * self._period.total_seconds())
        while True:
            self.send_report()
            await asyncio.sleep(self._period.total_seconds())

    def send_report(self) -> None:
        """Sends the current counts, if they have changed."""
        config = self._config
        report = self._count.make_report(
            config.node_name, config.zone, config.region, self._service_seconds()
        )
        if report is not None:
            self._follower.send_to_all(report)
