"""Watches a fleet while a phase runs: messages, bytes, processor time and memory."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import aiohttp

from tools.scale.processes import Fleet, Usage

__all__ = ["LOOK_EVERY", "Observer", "describe_usage"]

# Seconds between two looks at the fleet.
LOOK_EVERY = 0.1
_ROLES = ("store", "registry", "proxy")


class Observer:
    """Asks all processes of one fleet; `longest` bounds each wait, in seconds."""

    def __init__(self, fleet: Fleet, longest: float) -> None:
        self._fleet = fleet
        self._longest = longest

    async def measure(self, act: Awaitable[None]) -> dict[str, float]:
        """Awaits the act; what it cost, each second and node."""
        before, counts, began = self._fleet.usage(), await self._count(), time.time()
        await act
        seconds = time.time() - began
        after, ended = self._fleet.usage(), await self._count()
        nodes = sum(len(hollows.numbers) for hollows in self._fleet.hollows)
        per_node = {
            f"{name}-a-node-second": (ended[name] - counts[name]) / nodes / seconds
            for name in counts
        }
        return {"seconds": seconds, **per_node, **describe_usage(after, before, seconds)}

    async def _count(self) -> dict:
        answers = await self._fleet.ask_all(do="look")
        names = answers[0]["counts"]
        return {
            **{
                name.replace("_", "-"): sum(answer["counts"][name] for answer in answers)
                for name in names
            },
            "hollow-cpu": sum(answer["cpu"] for answer in answers),
        }

    async def until(self, holds: Callable[[list[dict]], bool]) -> None:
        """Waits until the descriptions of all hollow nodes fulfil `holds`.

        Raises TimeoutError after the longest time of a phase.
        """
        async with asyncio.timeout(self._longest):
            while True:
                answers = await self._fleet.ask_all(do="look")
                if holds([node for answer in answers for node in answer["nodes"]]):
                    return
                await asyncio.sleep(LOOK_EVERY)

    async def until_state(self, number: int, holds: Callable[[dict], bool]) -> None:
        """Waits until the state call of this registry fulfils `holds`.

        Raises TimeoutError after the longest time of a phase.
        """
        url = f"http://{self._fleet.layout.core_host(number)}:{self._fleet.layout.first_port}"
        async with asyncio.timeout(self._longest), aiohttp.ClientSession() as session:
            while True:
                try:
                    async with session.get(f"{url}/mesh/state") as answer:
                        if answer.status == 200 and holds(await answer.json()):
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(LOOK_EVERY)


def describe_usage(
    after: dict[str, Usage], before: dict[str, Usage] | None, seconds: float
) -> dict[str, float]:
    """Cores (mean, most) and peak memory in MB of each role over `seconds`."""
    found = {}
    for role in _ROLES:
        names = [name for name in after if name.startswith(role)]
        if not names:
            continue
        cores = [_used_since(after[name], (before or {}).get(name)) / seconds for name in names]
        found[f"{role}-cores-mean"] = sum(cores) / len(cores)
        found[f"{role}-cores-most"] = max(cores)
        found[f"{role}-memory-mb-most"] = max(after[name].memory_mb for name in names)
    return found


def _used_since(after: Usage, before: Usage | None) -> float:
    # One that was started again has used only what it used since.
    if before is not None and before.process == after.process:
        return after.cpu_seconds - before.cpu_seconds
    return after.cpu_seconds
