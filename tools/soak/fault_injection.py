"""Injects random faults that overlap in time."""

import asyncio
import random
import signal

from tools.soak.fleet import Fleet, Node
from tools.soak.target import Target

__all__ = ["FaultInjector"]

# More than one, so that faults overlap.
_MAX_CONCURRENT_FAULTS = 3


class FaultInjector:
    """Starts random faults one after the other; each ends by itself after a random time."""

    def __init__(self, fleet: Fleet, targets: list[Target], rng: random.Random) -> None:
        self._fleet = fleet
        self._targets = targets
        # Faults that overlap draw in the order of real time; which faults come, and when,
        # is drawn apart, so that the seed alone decides it.
        self._schedule_rng = random.Random(rng.random())
        self._rng = rng
        self._affected_nodes: set[Node] = set()
        self._tasks: set[asyncio.Task] = set()
        # Start time in seconds and name of each fault, for the report.
        self.injected: list[tuple[float, str]] = []

    async def run(self, seconds: float) -> None:
        """Injects faults for `seconds`, and returns once all of them have ended."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        faults = [
            self._kill_proxy,
            self._pause_proxy,
            self._cut_side_from_core,
            self._cut_core,
            self._kill_core_program,
            self._pause_core_program,
            self._kill_all_core,
            self._lose_answers,
            self._replace_target,
            self._lose_power,
        ]
        while loop.time() - started_at < seconds:
            await asyncio.sleep(self._schedule_rng.uniform(0.3, 1.0))
            fault = self._schedule_rng.choice(faults)
            if len(self._tasks) < _MAX_CONCURRENT_FAULTS:
                self.injected.append(
                    (round(loop.time() - started_at, 2), fault.__name__.strip("_"))
                )
                task = loop.create_task(fault())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    def _choose_idle_node(self, nodes: list[Node]) -> Node | None:
        free = [node for node in nodes if node not in self._affected_nodes]
        return self._rng.choice(free) if free else None

    async def _kill_proxy(self) -> None:
        await self._restart([self._choose_idle_node(self._fleet.proxies)], 1.0)

    async def _kill_core_program(self) -> None:
        await self._restart(
            [self._choose_idle_node([*self._fleet.stores, *self._fleet.registries])], 1.5
        )

    async def _kill_all_core(self) -> None:
        core = [*self._fleet.stores, *self._fleet.registries]
        await self._restart([node for node in core if node not in self._affected_nodes], 2.5)

    async def _lose_power(self) -> None:
        """Restarts all programs and targets; targets come back cold, disks keep their data."""
        nodes = [node for node in self._fleet.nodes if node not in self._affected_nodes]
        for target in self._targets:
            await target.crash()
        restart = asyncio.create_task(self._restart(list(nodes), 1.0))
        await asyncio.sleep(self._rng.uniform(0.1, 1.0))
        for target in self._targets:
            await target.start(is_cold=True)
        await restart

    async def _restart(self, nodes: list[Node | None], max_downtime_seconds: float) -> None:
        chosen = [node for node in nodes if node is not None]
        self._affected_nodes.update(chosen)
        try:
            for node in chosen:
                await node.kill()
            await asyncio.sleep(self._rng.uniform(0.1, max_downtime_seconds))
            for node in chosen:
                await node.start()
        finally:
            self._affected_nodes.difference_update(chosen)

    async def _pause_proxy(self) -> None:
        await self._pause(self._choose_idle_node(self._fleet.proxies))

    async def _pause_core_program(self) -> None:
        await self._pause(self._choose_idle_node([*self._fleet.stores, *self._fleet.registries]))

    async def _pause(self, node: Node | None) -> None:
        if node is None:
            return
        self._affected_nodes.add(node)
        try:
            node.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.2, 3.0))
        finally:
            node.send_signal(signal.SIGCONT)
            self._affected_nodes.discard(node)

    async def _cut_side_from_core(self) -> None:
        machine = self._rng.choice(self._fleet.proxies).machine
        await self._partition([(machine.host, node.machine.host) for node in self._fleet.stores])

    async def _cut_core(self) -> None:
        first = self._rng.choice(self._fleet.stores).machine
        others = [node.machine for node in self._fleet.stores if node.machine != first]
        await self._partition([(first.host, second.host) for second in others])

    async def _partition(self, pairs: list[tuple[str, str]]) -> None:
        for first, second in pairs:
            self._fleet.set_partitioned(first, second, True)
        await asyncio.sleep(self._rng.uniform(0.5, 4.0))
        for first, second in pairs:
            self._fleet.set_partitioned(first, second, False)

    async def _lose_answers(self) -> None:
        target = self._rng.choice(self._targets)
        target.lost_response_ratio = 0.2
        await asyncio.sleep(self._rng.uniform(0.5, 2.0))
        target.lost_response_ratio = 0.0

    async def _replace_target(self) -> None:
        target = self._rng.choice(self._targets)
        await target.crash()
        await asyncio.sleep(self._rng.uniform(0.1, 0.6))
        await target.start(is_cold=True)
