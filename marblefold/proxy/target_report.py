"""Makes the notices of this proxy and its target for the registries."""

import time

from marblefold.inner_protocol.messages import kinds
from marblefold.inner_protocol.ports import PROXY, inner_address
from marblefold.node_config.reading import NodeConfig
from marblefold.request_path.local_target import LocalTarget

__all__ = ["TargetReportBuilder"]


class TargetReportBuilder:
    """Numbers the notices of this life of the proxy."""

    def __init__(self, config: NodeConfig, target: LocalTarget) -> None:
        self.is_leaving = False
        self._config = config
        self._target = target
        # Lives are ordered by the clock; `supersede` corrects a clock that went back.
        self._life = int(time.time() * 1000)
        self._number = 0

    def build(self) -> kinds.TargetNotice:
        """A notice of the current state."""
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
            cold_left_ms=int(max(0.0, target.cold_until - time.monotonic()) * 1000),
            leaving=self.is_leaving,
            site=config.site,
            site_agent=config.site_agent,
        )

    def supersede(self, life: int) -> bool:
        """Another life of this node counts as newer: begin one above it, if needed.

        Returns whether a new life was begun.
        """
        if life <= self._life:
            return False
        self._life = life + 1
        return True
