"""Makes what this proxy tells the registries of itself and its target."""

import time

from marblefold.inner_protocol.messages import kinds
from marblefold.inner_protocol.ports import PROXY, inner_address
from marblefold.node_config.reading import NodeConfig
from marblefold.request_path.local_target import LocalTarget

__all__ = ["NoticeMaker"]


class NoticeMaker:
    """Numbers the notices of this life of the proxy."""

    def __init__(self, config: NodeConfig, target: LocalTarget) -> None:
        self.is_leaving = False
        self._config = config
        self._target = target
        # Lives are ordered by the clock, and outbid where that misleads.
        self._life = int(time.time() * 1000)
        self._number = 0

    def make(self) -> kinds.TargetNotice:
        """The notice as things stand now."""
        self._number += 1
        target, config = self._target, self._config
        return kinds.TargetNotice(
            node=config.node_name,
            node_life=self._life,
            notice_number=self._number,
            address=inner_address(config.host, config, PROXY),
            zone=target.zone or config.zone,
            region=config.region,
            instance=target.instance,
            upstream=target.upstream,
            slots=target.slots,
            state=target.state.value,
            cold_left_ms=max(0, int((target.cold_until - time.monotonic()) * 1000)),
            leaving=self.is_leaving,
            site=config.site,
            site_agent=config.site_agent,
        )

    def outbid(self, life: int) -> bool:
        """Another life of this node is thought newer: begin one above it."""
        if life <= self._life:
            return False
        self._life = life + 1
        return True
