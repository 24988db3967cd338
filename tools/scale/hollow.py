"""Hollow nodes: the control plane client of a proxy, many in one process.

Each runs the real registry follower, membership and target reports over the
real inner protocol, without a target or traffic.  Commands are read as JSON
lines from standard input, responses are written to standard output.
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


class TrafficCounts:
    """Messages and bytes of this process, on connections and as datagrams.

    The attribute names are keys of the results.
    """

    def __init__(self) -> None:
        self.connection_messages = self.connection_bytes = 0
        self.datagrams = self.datagram_bytes = 0

    def instrument(self) -> None:
        """Wraps the methods of the real classes that send and receive, in this process only."""
        receive_data, send = PeerConnection.data_received, PeerConnection.send
        receive_datagram, send_datagrams = (
            MembershipSocket.datagram_received,
            MembershipSocket._send,
        )

        def count_data_received(connection, data):
            self.connection_messages += 1
            self.connection_bytes += len(data)
            receive_data(connection, data)

        def count_message_sent(connection, kind, number, payload=b""):
            self.connection_messages += 1
            # The header of a frame has 9 bytes.
            self.connection_bytes += len(payload) + 9
            send(connection, kind, number, payload)

        def count_datagram_received(membership, data, address):
            self.datagrams += 1
            self.datagram_bytes += len(data)
            if not _is_unreachable(membership, address[0]):
                receive_datagram(membership, data, address)

        def count_datagrams_sent(membership, messages):
            deliverable = [
                message
                for message in messages
                if not _is_unreachable(membership, message.peer.rpartition(":")[0])
            ]
            self.datagrams += len(deliverable)
            send_datagrams(membership, deliverable)

        PeerConnection.data_received = count_data_received  # type: ignore[method-assign]
        PeerConnection.send = count_message_sent  # type: ignore[method-assign]
        MembershipSocket.datagram_received = count_datagram_received  # type: ignore[method-assign]
        MembershipSocket._send = count_datagrams_sent  # type: ignore[method-assign]


# Hosts that a node cannot reach during a partition, by the node's own host.
_unreachable_hosts: dict[str, set[str]] = {}


def _is_unreachable(membership: MembershipSocket, host: str) -> bool:
    own_host = membership._prober.table.own.address.rpartition(":")[0]
    return host in _unreachable_hosts.get(own_host, ())


class _StaticConfigWatch(NamedTuple):
    """Stub of a ConfigWatch whose file never changes."""

    config: NodeConfig


class HollowNode:
    """The control plane client of one proxy."""

    def __init__(self, layout: Layout, number: int) -> None:
        self.number = number
        host = layout.node_host(number)
        config = parse_config(make_config(layout, host, f"node-{number}", number))
        watch = _StaticConfigWatch(config)
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
        self.view.on_own_target_entry = lambda generation: None
        self.suspected_at: dict[str, float] = {}
        self.membership = NodeMembership(watch, "proxy", PROXY, self._on_member)
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        await self.membership.start()
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(coroutine)
            for coroutine in (self.membership.run(), self.follower.run())
        ]

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
        """What the node knows of the mesh, as the observer reads it."""
        members = list(self.membership._prober.table)
        return {
            "number": self.number,
            "configuration": self.view.table.number if self.view.table else 0,
            "targets": sum(len(targets) for targets in self.view._targets.values()),
            "alive": sum(1 for member in members if member.liveness is Liveness.ALIVE),
            "in-touch": self.follower.is_in_touch,
            "suspected": len(self.suspected_at),
        }


class HollowHost:
    """Runs the nodes of this process and executes the commands for them."""

    def __init__(self, layout: Layout, numbers: range) -> None:
        self._layout = layout
        self.nodes = {number: HollowNode(layout, number) for number in numbers}
        self.counts = TrafficCounts()
        # By node: number of the last configuration and the Unix time when the node applied it.
        self._configuration_seen: dict[int, tuple[int, float]] = {}

    async def run(self) -> None:
        self.counts.instrument()
        for node in self.nodes.values():
            await node.start()
            self._watch(node)
            # Staggers the starts: machines do not all start at the same moment.
            await asyncio.sleep(0.02)
        reader = asyncio.StreamReader()
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        # The input closes when the tool ends, and this process then ends too.
        while line := await reader.readline():
            response = await self._execute_command(json.loads(line))
            print(json.dumps(response), flush=True)

    def _watch(self, node: HollowNode) -> None:
        node.view.on_configuration = lambda table: self._configuration_seen.__setitem__(
            node.number, (table.number, time.time())
        )

    async def _execute_command(self, command: dict) -> dict:
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
                _unreachable_hosts[node.host] = hosts if command["on"] else set()
                for peer in list(node.follower._peers._connections):
                    if command["on"] and peer.rpartition(":")[0] in hosts:
                        node.follower._peers.close_connection(peer)
                # One hour, longer than any phase: no reconnect during the partition.
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
    """Arguments: NODES CORE SERVICES FIRST_PORT FIRST_NUMBER END_NUMBER (exclusive)."""
    nodes, core, services, port, first_number, end_number = (
        int(argument) for argument in arguments
    )
    layout = Layout(nodes, core, services, port)
    import logging

    import structlog

    from marblefold.logs import start_logs

    start_logs("hollow")
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    asyncio.run(HollowHost(layout, range(first_number, end_number)).run())


if __name__ == "__main__":
    main(sys.argv[1:])
