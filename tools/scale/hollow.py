"""Hollow nodes: the control part of a proxy, many in one process.

Each runs the real follower, membership and notices over the real inner
protocol, without a target or traffic.  Commands are read as JSON lines from
standard input, answers are written to standard output.
"""

import asyncio
import json
import sys
import time
from datetime import timedelta
from typing import NamedTuple

from marblefold.inner_protocol.peer_connection import PeerConnection
from marblefold.inner_protocol.ports import PROXY, REGISTRY, inner_address
from marblefold.membership.datagrams import MembershipSocket
from marblefold.membership.members import Liveness
from marblefold.membership.node import NodeMembership
from marblefold.node_config.reading import NodeConfig, parse_config
from marblefold.proxy.registry_follower import RegistryFollower
from marblefold.proxy.target_report import TargetReportBuilder
from marblefold.request_path.local_target import Heartbeat, LocalTarget
from marblefold.request_path.mesh_view import MeshView
from tools.scale.settings import Layout, make_config

__all__ = ["main"]


class Counts:
    """Messages and bytes of this process, on connections and as datagrams."""

    def __init__(self) -> None:
        self.connection_messages = self.connection_bytes = 0
        self.datagrams = self.datagram_bytes = 0

    def instrument(self) -> None:
        """Wraps the methods of the real classes that send and receive, in this process only."""
        take, send = PeerConnection.data_received, PeerConnection.send
        receive, send_all = MembershipSocket.datagram_received, MembershipSocket._send

        def count_taken(connection, data):
            self.connection_messages += 1
            self.connection_bytes += len(data)
            take(connection, data)

        def count_sent(connection, kind, number, payload=b""):
            self.connection_messages += 1
            self.connection_bytes += len(payload) + 9
            send(connection, kind, number, payload)

        def count_received(membership, data, address):
            self.datagrams += 1
            self.datagram_bytes += len(data)
            if not _is_cut(membership, address[0]):
                receive(membership, data, address)

        def count_out(membership, messages):
            kept = [
                message
                for message in messages
                if not _is_cut(membership, message.peer.rpartition(":")[0])
            ]
            self.datagrams += len(kept)
            send_all(membership, kept)

        PeerConnection.data_received = count_taken  # type: ignore[method-assign]
        PeerConnection.send = count_sent  # type: ignore[method-assign]
        MembershipSocket.datagram_received = count_received  # type: ignore[method-assign]
        MembershipSocket._send = count_out  # type: ignore[method-assign]


# Hosts that a node cannot reach at the moment, by the node's own host.
_cuts: dict[str, set[str]] = {}


def _is_cut(membership: MembershipSocket, host: str) -> bool:
    own = membership._prober.table.own.address.rpartition(":")[0]
    return host in _cuts.get(own, ())


class _FixedConfig(NamedTuple):
    """Stands for a ConfigWatch whose file never changes."""

    config: NodeConfig


class HollowNode:
    """The control side of one proxy."""

    def __init__(self, layout: Layout, number: int) -> None:
        self.number = number
        host = layout.node_host(number)
        config = parse_config(make_config(layout, host, f"node-{number}", number))
        watch = _FixedConfig(config)
        self.host = host
        self.view = MeshView(config.node_name)
        self.target = LocalTarget(lambda: None)
        self.target.apply_heartbeat(
            Heartbeat(
                f"i-{number}-{time.time_ns()}",
                config.upstream,
                "",
                config.zone,
                4,
                False,
                timedelta(),
                1,
            )
        )
        self.target._on_change = lambda: None
        seeds = [inner_address(seed.host, config, REGISTRY) for seed in config.seeds]
        self.follower = RegistryFollower(
            config.node_name,
            lambda: seeds,
            self.view,
            TargetReportBuilder(config, self.target).build,
        )
        self.view.on_own_target_entry = lambda life: None
        self.suspected_at: dict[str, float] = {}
        self.membership = NodeMembership(watch, "proxy", PROXY, self._on_member)
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        await self.membership.start()
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(run) for run in (self.membership.run(), self.follower.run())]

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.follower._peers.close()
        if self.membership._socket._transport is not None:
            self.membership._socket._transport.close()

    def _on_member(self, member) -> None:
        if member.liveness is Liveness.ALIVE:
            self.suspected_at.pop(member.address, None)
        else:
            self.suspected_at.setdefault(member.address, time.time())

    def describe(self) -> dict:
        """What the node knows, for the measurement."""
        members = list(self.membership._prober.table)
        return {
            "number": self.number,
            "configuration": self.view.table.number if self.view.table else 0,
            "targets": sum(len(of) for of in self.view._targets.values()),
            "alive": sum(1 for member in members if member.liveness is Liveness.ALIVE),
            "in-touch": self.follower.is_in_touch,
            "suspected": len(self.suspected_at),
        }


class HollowHost:
    """The nodes of this process, and the commands for them."""

    def __init__(self, layout: Layout, numbers: range) -> None:
        self._layout = layout
        self.nodes = {number: HollowNode(layout, number) for number in numbers}
        self.counts = Counts()
        # By node: number of the configuration and when it was seen.
        self._configuration_seen: dict[int, tuple[int, float]] = {}

    async def run(self) -> None:
        self.counts.instrument()
        for node in self.nodes.values():
            await node.start()
            self._watch(node)
            # Machines do not all start at the same moment.
            await asyncio.sleep(0.02)
        reader = asyncio.StreamReader()
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        # The process ends with its input, that is when the tool ends.
        while line := await reader.readline():
            answer = await self._obey(json.loads(line))
            print(json.dumps(answer), flush=True)

    def _watch(self, node: HollowNode) -> None:
        node.view.on_configuration = lambda table: self._configuration_seen.__setitem__(
            node.number, (table.number, time.time())
        )

    async def _obey(self, command: dict) -> dict:
        if command["do"] == "restart":
            number = command["node"]
            await self.nodes[number].stop()
            await asyncio.sleep(command.get("down", 0.0))
            self.nodes[number] = HollowNode(self._layout, number)
            self._watch(self.nodes[number])
            await self.nodes[number].start()
        elif command["do"] == "cut":
            hosts = set(command["hosts"])
            for node in self.nodes.values():
                _cuts[node.host] = hosts if command["on"] else set()
                for peer in list(node.follower._peers._connections):
                    if command["on"] and peer.rpartition(":")[0] in hosts:
                        node.follower._peers.close_connection(peer)
                node.follower._peers._reconnect_not_before = {
                    peer: time.monotonic() + 3600
                    for peer in node.view.registries
                    if command["on"] and peer.rpartition(":")[0] in hosts
                }
        return {
            "nodes": [node.describe() for node in self.nodes.values()],
            "configuration-seen": {
                str(node): seen for node, seen in self._configuration_seen.items()
            },
            "counts": vars(self.counts),
            "cpu": time.process_time(),
        }


def main(arguments: list[str]) -> None:
    """hollow NODES CORE SERVICES FIRST_PORT FROM TO."""
    nodes, core, services, port, first, last = (int(word) for word in arguments)
    layout = Layout(nodes, core, services, port)
    import logging

    import structlog

    from marblefold.logs import start_logs

    start_logs("hollow")
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    asyncio.run(HollowHost(layout, range(first, last)).run())


if __name__ == "__main__":
    main(sys.argv[1:])
