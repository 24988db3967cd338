"""The phases of a scale run: start, idle, one configuration change, churn, loss of a
registry, and a network partition into two halves."""

import asyncio
import json
import time

import aiohttp

from tools.scale.observer import POLL_INTERVAL_SECONDS, Observer, describe_usage
from tools.scale.processes import Fleet
from tools.scale.settings import make_configuration

__all__ = ["Phases"]


class Phases:
    """Each method runs one phase and returns its metrics; times in seconds.

    All raise TimeoutError when a phase takes longer than `phase_timeout_seconds`.
    """

    def __init__(
        self,
        fleet: Fleet,
        routes: int,
        idle_seconds: float,
        settle_seconds: float,
        phase_timeout_seconds: float,
    ) -> None:
        self._settle_seconds = settle_seconds
        self._fleet = fleet
        self._routes = routes
        self._idle_seconds = idle_seconds
        self._phase_timeout_seconds = phase_timeout_seconds
        self._observer = Observer(fleet, phase_timeout_seconds)
        self._configuration = 0
        self._real_proxy_count = 0

    async def start(self, real_proxy_count: int) -> dict:
        """Starts all processes; ends when every node knows all targets and the configuration."""
        fleet = self._fleet
        self._real_proxy_count = real_proxy_count
        started_at = time.time()
        await fleet.start_core()
        acknowledged_seconds = await self.put_configuration()
        for number in range(real_proxy_count):
            await fleet.start_real_process("proxy", number, True)
        nodes_started_at = time.time()
        await fleet.start_hollow_processes(real_proxy_count)
        hollow_count = fleet.layout.nodes - real_proxy_count
        # Real proxies have no target here; each hollow node announces one.
        await self._observer.wait_until(
            lambda nodes: (
                len(nodes) == hollow_count
                and all(
                    node["targets"] >= hollow_count and node["configuration"] == self._configuration
                    for node in nodes
                )
            )
        )
        targets_known_seconds = time.time() - nodes_started_at
        await self._observer.wait_until(
            lambda nodes: all(node["alive"] >= fleet.layout.nodes - 1 for node in nodes)
        )
        return {
            "configuration-acknowledged-s": acknowledged_seconds,
            "targets-known-s": targets_known_seconds,
            "members-known-s": time.time() - nodes_started_at,
            "whole-s": time.time() - started_at,
            **describe_usage(fleet.usage(), None, 1.0),
        }

    async def measure_idle(self) -> dict:
        """The cost of control without any events."""
        # The updates that the start caused are still propagating.
        await asyncio.sleep(self._settle_seconds)
        return await self._observer.measure(asyncio.sleep(self._idle_seconds))

    async def change_configuration(self) -> dict:
        """Puts one configuration; ends when every node applies it."""
        results: dict[str, float] = {}

        async def action() -> None:
            started_at = time.time()
            results["acknowledged-s"] = await self.put_configuration()
            await self._observer.wait_until(
                lambda nodes: all(node["configuration"] == self._configuration for node in nodes)
            )
            seen = [
                at
                for response in await self._fleet.send_command_to_all(do="look")
                for number, at in response["configuration-seen"].values()
                if number == self._configuration
            ]
            results["everywhere-s"] = max(seen) - started_at
            results["median-s"] = sorted(seen)[len(seen) // 2] - started_at

        return {**await self._observer.measure(action()), **results}

    async def churn(self, restarts: int, changes: int) -> dict:
        """Performs a day's node restarts and configuration changes, one after the other."""
        fleet = self._fleet
        hollow_nodes = [
            (process, number) for process in fleet.hollow_processes for number in process.numbers
        ]

        async def action() -> None:
            for index in range(restarts):
                process, number = hollow_nodes[index * 37 % len(hollow_nodes)]
                await process.send_command(do="restart", node=number, down=0.2)
                if changes and index % max(1, restarts // changes) == 0:
                    await self.put_configuration()
            await self._observer.wait_until(
                lambda nodes: all(
                    node["targets"] >= len(hollow_nodes)
                    and node["configuration"] == self._configuration
                    for node in nodes
                )
            )

        return {"restarts": restarts, "changes": changes, **await self._observer.measure(action())}

    async def lose_registry(self) -> dict:
        """Kills a registry and starts it again, with its state in memory lost."""
        fleet = self._fleet
        number = fleet.layout.core - 1
        process = fleet.real_processes[f"registry-{number}"].process
        results: dict[str, float] = {}

        async def action() -> None:
            process.kill()
            await process.wait()
            await asyncio.sleep(3.0)
            nodes = [
                node
                for response in await fleet.send_command_to_all(do="look")
                for node in response["nodes"]
            ]
            results["in-touch-without"] = sum(1 for node in nodes if node["in-touch"])
            results["nodes"] = len(nodes)
            started_at = time.time()
            await fleet.start_real_process("registry", number, False)
            await self._observer.wait_until_state(
                number, lambda state: len(state["targets"]) >= len(nodes)
            )
            results["knows-all-again-s"] = time.time() - started_at

        return {**await self._observer.measure(action()), **results}

    async def partition(self) -> dict:
        """Partitions the network into two halves, then heals it."""
        fleet, layout = self._fleet, self._fleet.layout
        half = len(fleet.hollow_processes) // 2
        sides = fleet.hollow_processes[:half], fleet.hollow_processes[half:]
        core = [layout.core_host(number) for number in range(layout.core)]
        hosts = [
            [layout.node_host(number) for process in side for number in process.numbers]
            for side in sides
        ]
        # The majority of the core machines stays with the first half.
        majority = layout.core // 2 + 1
        hosts[0] += core[:majority]
        hosts[1] += core[majority:]
        # The real proxies belong to the second half: they must not relay between the two.
        hosts[1] += [layout.node_host(number) for number in range(self._real_proxy_count)]
        results: dict[str, float] = {}

        async def action() -> None:
            started_at = time.time()
            await self._set_partition(sides, hosts, True)
            half_of_other_side = min(len(hosts[0]), len(hosts[1])) // 2
            await self._observer.wait_until(
                lambda nodes: all(node["suspected"] >= half_of_other_side for node in nodes)
            )
            results["half-suspected-s"] = time.time() - started_at
            started_at = time.time()
            await self._set_partition(sides, hosts, False)
            await self._observer.wait_until(
                lambda nodes: all(node["suspected"] == 0 and node["in-touch"] for node in nodes)
            )
            results["healed-s"] = time.time() - started_at

        return {**await self._observer.measure(action()), **results}

    async def _set_partition(self, sides, hosts, is_on: bool) -> None:
        await asyncio.gather(
            *(
                process.send_command(do="cut", hosts=hosts[1 - index], on=is_on)
                for index, side in enumerate(sides)
                for process in side
            )
        )

    async def put_configuration(self) -> float:
        """Puts the next configuration, retrying; returns the seconds until it was acknowledged.

        Raises TimeoutError after the time limit of a phase.
        """
        self._configuration += 1
        layout = self._fleet.layout
        body = json.dumps(make_configuration(layout, self._configuration, self._routes)).encode()
        started_at = time.time()
        async with asyncio.timeout(self._phase_timeout_seconds), aiohttp.ClientSession() as session:
            while True:
                try:
                    url = f"http://{layout.core_host(0)}:{layout.first_port}/mesh/configuration"
                    async with session.put(url, data=body) as response:
                        if response.status == 200:
                            return time.time() - started_at
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
