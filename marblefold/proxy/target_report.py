"""Builds the reports on this proxy and its target for the registries."""

import time

from marblefold.inner_protocol.messages import messages_pb2
from marblefold.inner_protocol.ports import PROXY, inner_address
from marblefold.node_config.reading import NodeConfig
from marblefold.request_path.local_target import LocalTarget

__all__ = ["TargetReportBuilder"]


class TargetReportBuilder:
    """Builds numbered reports for the current generation of this proxy."""

    def __init__(self, config: NodeConfig, target: LocalTarget) -> None:
        self.is_leaving = False
        self._config = config
        self._target = target
        # Generations are ordered by the clock; `supersede` handles a clock that was set back.
        self._generation = int(time.time() * 1000)
        self._number = 0

    @property
    def generation(self) -> int:
        """The generation of this process, which orders its reports after earlier ones."""
        return self._generation

    def build(self) -> messages_pb2.TargetNotice:
        """Returns a report of the current state."""
        self._number += 1
        target, config = self._target, self._config
        return messages_pb2.TargetNotice(
            node=config.node_name,
            node_life=self._generation,
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

    def supersede(self, generation: int) -> bool:
        """Begins a generation above the given one, unless the current one is newer already.

        Returns whether a new generation was begun.
        """
        if generation <= self._generation:
            return False
        self._generation = generation + 1
        return True
