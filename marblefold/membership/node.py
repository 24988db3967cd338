"""The membership of a node: a prober and its socket, created from the node's config."""

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
    """Gives access to the current config, which may change while a coroutine waits."""

    @property
    def config(self) -> NodeConfig:
        """The current config."""


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
        """Binds the datagram socket. Raises OSError if the port is in use."""
        await self._socket.start(self._address)

    async def run(self) -> None:
        """Probes the other nodes; never returns."""
        await self._socket.run()

    def members(self, role: str) -> list[Member]:
        """Returns the other members of a role, including suspected but not removed ones."""
        return [
            member
            for member in self._prober.table
            if member.role == role and member.liveness is not Liveness.GONE
        ]

    def _seeds(self) -> list[str]:
        config = self._watch.config
        return [inner_address(seed.host, config, REGISTRY) for seed in config.seeds]
