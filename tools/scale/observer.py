"""Observes a fleet while a phase runs: messages, bytes, CPU time and memory."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import aiohttp

from tools.scale.processes import Fleet, Usage

__all__ = ["POLL_INTERVAL_SECONDS", "Observer", "describe_usage"]

POLL_INTERVAL_SECONDS = 0.1
_ROLES = ("store", "registry", "proxy")


class Observer:
    """Polls all processes of one fleet; `phase_timeout_seconds` limits each wait."""

    def __init__(self, fleet: Fleet, phase_timeout_seconds: float) -> None:
        self._fleet = fleet
        self._phase_timeout_seconds = phase_timeout_seconds

    async def measure(self, action: Awaitable[None]) -> dict[str, float]:
        """Awaits the action; returns its cost for each second and node."""
        usage_before, counts_before, started_at = (
            self._fleet.usage(),
            await self._collect_counts(),
            time.time(),
        )
        await action
        seconds = time.time() - started_at
        usage_after, counts_after = self._fleet.usage(), await self._collect_counts()
        nodes = sum(len(hollow.numbers) for hollow in self._fleet.hollow_processes)
        per_node = {
            f"{name}-a-node-second": (counts_after[name] - counts_before[name]) / nodes / seconds
            for name in counts_before
        }
        return {
            "seconds": seconds,
            **per_node,
            **describe_usage(usage_after, usage_before, seconds),
        }

    async def _collect_counts(self) -> dict:
        responses = await self._fleet.send_command_to_all(do="look")
        names = responses[0]["counts"]
        return {
            **{
                name.replace("_", "-"): sum(response["counts"][name] for response in responses)
                for name in names
            },
            "hollow-cpu": sum(response["cpu"] for response in responses),
        }

    async def wait_until(self, condition: Callable[[list[dict]], bool]) -> None:
        """Waits until the descriptions of all hollow nodes satisfy `condition`.

        Raises TimeoutError after the time limit of a phase.
        """
        async with asyncio.timeout(self._phase_timeout_seconds):
            while True:
                responses = await self._fleet.send_command_to_all(do="look")
                if condition([node for response in responses for node in response["nodes"]]):
                    return
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def wait_until_state(self, number: int, condition: Callable[[dict], bool]) -> None:
        """Waits until the state that this registry serves satisfies `condition`.

        Raises TimeoutError after the time limit of a phase.
        """
        url = f"http://{self._fleet.layout.core_host(number)}:{self._fleet.layout.first_port}"
        async with asyncio.timeout(self._phase_timeout_seconds), aiohttp.ClientSession() as session:
            while True:
                try:
                    async with session.get(f"{url}/mesh/state") as response:
                        if response.status == 200 and condition(await response.json()):
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(POLL_INTERVAL_SECONDS)


def describe_usage(
    after: dict[str, Usage], before: dict[str, Usage] | None, seconds: float
) -> dict[str, float]:
    """CPU cores (mean, maximum) and peak memory in MB of each role over `seconds`."""
    results = {}
    for role in _ROLES:
        names = [name for name in after if name.startswith(role)]
        if not names:
            continue
        cores = [
            _cpu_seconds_since(after[name], (before or {}).get(name)) / seconds for name in names
        ]
        results[f"{role}-cores-mean"] = sum(cores) / len(cores)
        results[f"{role}-cores-most"] = max(cores)
        results[f"{role}-memory-mb-most"] = max(after[name].memory_mb for name in names)
    return results


def _cpu_seconds_since(after: Usage, before: Usage | None) -> float:
    # A restarted process has a new pid, and its CPU time counts from zero.
    if before is not None and before.pid == after.pid:
        return after.cpu_seconds - before.cpu_seconds
    return after.cpu_seconds
