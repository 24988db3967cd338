"""Random troubles that overlap in time."""

import asyncio
import random
import signal

from tools.soak.fleet import Fleet, Node
from tools.soak.target import Target

__all__ = ["Troubles"]

# At most so many troubles at once; a soak is of troubles that overlap.
_AT_ONCE = 3


class Troubles:
    """Draws troubles one after the other and ends each of them again."""

    def __init__(self, fleet: Fleet, targets: list[Target], choice: random.Random) -> None:
        self._fleet = fleet
        self._targets = targets
        self._random = choice
        self._busy: set[Node] = set()
        self._tasks: set[asyncio.Task] = set()
        # Every trouble with when it began, for the report.
        self.played: list[tuple[float, str]] = []

    async def run(self, seconds: float) -> None:
        """Brings troubles about for so long, and returns once all of them are over."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        kinds = [
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
        while loop.time() - began < seconds:
            await asyncio.sleep(self._random.uniform(0.3, 1.0))
            if len(self._tasks) < _AT_ONCE:
                kind = self._random.choice(kinds)
                self.played.append((round(loop.time() - began, 2), kind.__name__.strip("_")))
                task = loop.create_task(kind())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    def _draw(self, nodes: list[Node]) -> Node | None:
        free = [node for node in nodes if node not in self._busy]
        return self._random.choice(free) if free else None

    async def _kill_proxy(self) -> None:
        await self._restart([self._draw(self._fleet.proxies)], 1.0)

    async def _kill_core_program(self) -> None:
        await self._restart([self._draw([*self._fleet.stores, *self._fleet.registries])], 1.5)

    async def _kill_all_core(self) -> None:
        core = [*self._fleet.stores, *self._fleet.registries]
        await self._restart([node for node in core if node not in self._busy], 2.5)

    async def _lose_power(self) -> None:
        """Of all machines at once; targets come back cold, and all disks stay."""
        nodes = [node for node in self._fleet.nodes if node not in self._busy]
        for target in self._targets:
            await target.crash()
        restart = asyncio.create_task(self._restart(list(nodes), 1.0))
        await asyncio.sleep(self._random.uniform(0.1, 1.0))
        for target in self._targets:
            await target.start(is_cold=True)
        await restart

    async def _restart(self, nodes: list[Node | None], longest: float) -> None:
        chosen = [node for node in nodes if node is not None]
        self._busy.update(chosen)
        try:
            for node in chosen:
                await node.kill()
            await asyncio.sleep(self._random.uniform(0.1, longest))
            for node in chosen:
                await node.start()
        finally:
            self._busy.difference_update(chosen)

    async def _pause_proxy(self) -> None:
        await self._pause(self._draw(self._fleet.proxies))

    async def _pause_core_program(self) -> None:
        await self._pause(self._draw([*self._fleet.stores, *self._fleet.registries]))

    async def _pause(self, node: Node | None) -> None:
        if node is None:
            return
        self._busy.add(node)
        try:
            node.send(signal.SIGSTOP)
            await asyncio.sleep(self._random.uniform(0.2, 3.0))
        finally:
            node.send(signal.SIGCONT)
            self._busy.discard(node)

    async def _cut_side_from_core(self) -> None:
        side = self._random.choice(self._fleet.proxies).machine
        await self._cut([(side.host, node.machine.host) for node in self._fleet.stores])

    async def _cut_core(self) -> None:
        one = self._random.choice(self._fleet.stores).machine
        others = [node.machine for node in self._fleet.stores if node.machine != one]
        await self._cut([(one.host, other.host) for other in others])

    async def _cut(self, pairs: list[tuple[str, str]]) -> None:
        for one, other in pairs:
            self._fleet.cut(one, other, True)
        await asyncio.sleep(self._random.uniform(0.5, 4.0))
        for one, other in pairs:
            self._fleet.cut(one, other, False)

    async def _lose_answers(self) -> None:
        target = self._random.choice(self._targets)
        target.lost_share = 0.2
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        target.lost_share = 0.0

    async def _replace_target(self) -> None:
        target = self._random.choice(self._targets)
        await target.crash()
        await asyncio.sleep(self._random.uniform(0.1, 0.6))
        await target.start(is_cold=True)
