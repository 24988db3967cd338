"""The membership of a node: prober and socket, set up from its config."""

import time
from collections.abc import Callable
from typing import Protocol

from marblefold.inner_protocol.ports import REGISTRY, inner_address
from marblefold.membership.datagrams import MembershipSocket
from marblefold.membership.members import Liveness, Member
from marblefold.membership.prober import Prober
from marblefold.node_config.model import NodeConfig

__all__ = ["ConfigSource", "NodeMembership"]


class ConfigSource(Protocol):
    """Where the config in force is read; it may be another after each wait."""

    @property
    def config(self) -> NodeConfig:
        """The config in force now."""


class NodeMembership:
    """The other nodes that this node believes to be alive."""

    def __init__(
        self,
        watch: ConfigSource,
        role: str,
        port: int,
        on_change: Callable[[Member], None] = lambda member: None,
    ) -> None:
        config = watch.config
        self._watch = watch
        self._address = inner_address(config.host, config, port)
        own = Member(
            self._address,
            config.node_name,
            role,
            config.zone,
            int(time.time() * 1000),
            0,
            Liveness.ALIVE,
        )
        self._prober = Prober(own, self._seeds, on_change)
        self._socket = MembershipSocket(self._prober)

    async def start(self) -> None:
        """Binds the datagram socket. Raises OSError where the port is taken."""
        await self._socket.start(self._address)

    async def run(self) -> None:
        """Probes for ever."""
        await self._socket.run()

    def members(self, role: str) -> list[Member]:
        """The other members of a role, suspected ones included, removed ones not."""
        return [
            member
            for member in self._prober.table
            if member.role == role and member.liveness is not Liveness.GONE
        ]

    def _seeds(self) -> list[str]:
        config = self._watch.config
        return [inner_address(seed.host, config, REGISTRY) for seed in config.seeds]
