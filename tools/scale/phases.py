"""The phases of a scale run: start, rest, one change of the configuration, churn, loss of a
registry, and a cut between two halves."""

import asyncio
import json
import time

import aiohttp

from tools.scale.observer import LOOK_EVERY, Observer, describe_usage
from tools.scale.processes import Fleet
from tools.scale.settings import make_configuration

__all__ = ["Phases"]


class Phases:
    """Each method runs one phase and returns its figures; times in seconds.

    All raise TimeoutError when a phase takes longer than `longest`.
    """

    def __init__(
        self,
        fleet: Fleet,
        routes: int,
        seconds: float,
        settle: float,
        longest: float,
    ) -> None:
        self._settle = settle
        self._fleet = fleet
        self._routes = routes
        self._seconds = seconds
        self._longest = longest
        self._observer = Observer(fleet, longest)
        self._configuration = 0
        self._reals = 0

    async def start(self, reals: int) -> dict:
        """Starts everything, until every node knows every target and the configuration."""
        fleet = self._fleet
        self._reals = reals
        began = time.time()
        await fleet.start_core()
        acknowledged = await self._put_configuration()
        for number in range(reals):
            await fleet.start_real("proxy", number, True)
        nodes_began = time.time()
        await fleet.start_hollows(reals)
        hollow = fleet.layout.nodes - reals
        # Real proxies have no target here; each hollow node announces one.
        await self._observer.until(
            lambda nodes: (
                len(nodes) == hollow
                and all(
                    node["targets"] >= hollow and node["configuration"] == self._configuration
                    for node in nodes
                )
            )
        )
        known = time.time() - nodes_began
        await self._observer.until(
            lambda nodes: all(node["alive"] >= fleet.layout.nodes - 1 for node in nodes)
        )
        return {
            "configuration-acknowledged-s": acknowledged,
            "targets-known-s": known,
            "members-known-s": time.time() - nodes_began,
            "whole-s": time.time() - began,
            **describe_usage(fleet.usage(), None, 1.0),
        }

    async def rest(self) -> dict:
        """No events: the cost of control at rest."""
        # Updates of the start spread for a while.
        await asyncio.sleep(self._settle)
        return await self._observer.measure(asyncio.sleep(self._seconds))

    async def change(self) -> dict:
        """One configuration, until it is in force everywhere."""
        found: dict[str, float] = {}

        async def act() -> None:
            began = time.time()
            found["acknowledged-s"] = await self._put_configuration()
            await self._observer.until(
                lambda nodes: all(node["configuration"] == self._configuration for node in nodes)
            )
            seen = [
                at
                for answer in await self._fleet.ask_all(do="look")
                for number, at in answer["configuration-seen"].values()
                if number == self._configuration
            ]
            found["everywhere-s"] = max(seen) - began
            found["median-s"] = sorted(seen)[len(seen) // 2] - began

        return {**await self._observer.measure(act()), **found}

    async def churn(self, restarts: int, changes: int) -> dict:
        """The restarts and changes of a day, one after the other."""
        fleet = self._fleet
        hollows = [(host, number) for host in fleet.hollows for number in host.numbers]

        async def act() -> None:
            for index in range(restarts):
                host, number = hollows[index * 37 % len(hollows)]
                await host.ask(do="restart", node=number, down=0.2)
                if changes and index % max(1, restarts // changes) == 0:
                    await self._put_configuration()
            await self._observer.until(
                lambda nodes: all(
                    node["targets"] >= len(hollows) and node["configuration"] == self._configuration
                    for node in nodes
                )
            )

        return {"restarts": restarts, "changes": changes, **await self._observer.measure(act())}

    async def lose_registry(self) -> dict:
        """A registry is killed and started again with empty memory."""
        fleet = self._fleet
        number = fleet.layout.core - 1
        process = fleet.reals[f"registry-{number}"].process
        found: dict[str, float] = {}

        async def act() -> None:
            process.kill()
            await process.wait()
            await asyncio.sleep(3.0)
            nodes = [node for answer in await fleet.ask_all(do="look") for node in answer["nodes"]]
            found["in-touch-without"] = sum(1 for node in nodes if node["in-touch"])
            found["nodes"] = len(nodes)
            began = time.time()
            await fleet.start_real("registry", number, False)
            await self._observer.until_state(
                number, lambda state: len(state["targets"]) >= len(nodes)
            )
            found["knows-all-again-s"] = time.time() - began

        return {**await self._observer.measure(act()), **found}

    async def cut(self) -> dict:
        """A partition into two halves, then its end."""
        fleet, layout = self._fleet, self._fleet.layout
        half = len(fleet.hollows) // 2
        sides = fleet.hollows[:half], fleet.hollows[half:]
        core = [layout.core_host(number) for number in range(layout.core)]
        hosts = [
            [layout.node_host(number) for hollows in side for number in hollows.numbers]
            for side in sides
        ]
        # The larger part of the core stays with the first half.
        keep = layout.core // 2 + 1
        hosts[0] += core[:keep]
        hosts[1] += core[keep:]
        # The real proxies are on the second side: they must not relay between both.
        hosts[1] += [layout.node_host(number) for number in range(self._reals)]
        found: dict[str, float] = {}

        async def act() -> None:
            began = time.time()
            await self._set_cut(sides, hosts, True)
            lost = min(len(hosts[0]), len(hosts[1])) // 2
            await self._observer.until(
                lambda nodes: all(node["suspected"] >= lost for node in nodes)
            )
            found["half-suspected-s"] = time.time() - began
            began = time.time()
            await self._set_cut(sides, hosts, False)
            await self._observer.until(
                lambda nodes: all(node["suspected"] == 0 and node["in-touch"] for node in nodes)
            )
            found["healed-s"] = time.time() - began

        return {**await self._observer.measure(act()), **found}

    async def _set_cut(self, sides, hosts, is_on: bool) -> None:
        await asyncio.gather(
            *(
                hollows.ask(do="cut", hosts=hosts[1 - index], on=is_on)
                for index, side in enumerate(sides)
                for hollows in side
            )
        )

    async def _put_configuration(self) -> float:
        """Seconds until the next configuration was acknowledged."""
        self._configuration += 1
        layout = self._fleet.layout
        body = json.dumps(make_configuration(layout, self._configuration, self._routes)).encode()
        began = time.time()
        async with asyncio.timeout(self._longest), aiohttp.ClientSession() as session:
            while True:
                try:
                    url = f"http://{layout.core_host(0)}:{layout.first_port}/mesh/configuration"
                    async with session.put(url, data=body) as answer:
                        if answer.status == 200:
                            return time.time() - began
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(LOOK_EVERY)
