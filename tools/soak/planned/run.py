"""Runs proxies, targets and clients under planned work, and checks that no answer is cut."""

import asyncio
import random
import signal
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from tools.soak.builds import make_builds
from tools.soak.cancellation import cancel_all
from tools.soak.fleet import Fleet, Node
from tools.soak.layout import make_machines
from tools.soak.planned.kept_connection import KeptConnection, PlannedResults
from tools.soak.target import Target
from tools.soak.traffic import Operator

__all__ = ["PlannedOutcome", "soak_planned"]

_START_TIMEOUT_SECONDS = 20.0
# The grace period of the programs' settings.
_GRACE_SECONDS = 6.0
# Fewer than the proxies of a zone, so that each service keeps targets.
_MAX_CONCURRENT_STOPS = 2
_NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


@dataclass(frozen=True)
class PlannedOutcome:
    """The result of one seed; `violations` describes each violated invariant."""

    seed: int
    asked: int
    served: int
    stops: int
    reloads: int
    changes: int
    violations: tuple[str, ...]


class PlannedWork:
    """Stops proxies one after the other, two at a time, and reloads others meanwhile."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self.stops = 0
        self.reloads = 0
        self.killed: list[str] = []
        self._fleet = fleet
        self._rng = rng
        self._stopping: dict[Node, asyncio.Task] = {}

    async def run(self, seconds: float) -> None:
        """Begins stops for `seconds`, and returns once all of them have ended."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(self._rng.uniform(0.2, 0.8))
            free = [node for node in self._fleet.proxies if node not in self._stopping]
            node = self._rng.choice(free)
            if self._rng.random() < 0.3:
                node.send_signal(signal.SIGHUP)
                self.reloads += 1
            elif len(self._stopping) < _MAX_CONCURRENT_STOPS:
                self.stops += 1
                self._stopping[node] = asyncio.create_task(self._stop(node))
        await asyncio.gather(*self._stopping.values())

    async def _stop(self, node: Node) -> None:
        began_at = time.monotonic()
        node.send_signal(signal.SIGTERM)
        await node.wait(_GRACE_SECONDS)
        if time.monotonic() - began_at >= _GRACE_SECONDS:
            self.killed.append(node.name)
        await node.start()
        await asyncio.sleep(self._rng.uniform(0.5, 1.5))
        del self._stopping[node]


async def soak_planned(
    seed: int, seconds: float, clients: int, previous: str = ""
) -> PlannedOutcome:
    """Runs the mesh under planned work.

    previous: a commit whose build runs beside the working tree's, or "production", or "".
    Raises TimeoutError if the mesh does not start.
    """
    rng = random.Random(seed)
    core, target_machines = make_machines()
    executions: dict[str, int] = {}
    targets = [
        Target(machine, executions, random.Random(rng.random())) for machine in target_machines
    ]
    operator = Operator(core, targets, random.Random(rng.random()))
    results = PlannedResults()
    connections = [
        KeptConnection(target_machines, results, random.Random(rng.random()))
        for _ in range(clients)
    ]
    with tempfile.TemporaryDirectory(prefix="soak-") as name:
        builds = make_builds(previous, Path(name), random.Random(seed))
        async with Fleet(core, target_machines, Path(name), builds) as fleet:
            for target in targets:
                await target.start(is_cold=False)
            background = [asyncio.create_task(target.run()) for target in targets]
            await _wait_for(operator.change)
            client_tasks = [asyncio.create_task(connection.run()) for connection in connections]
            await _wait_for(lambda: _is_served(results))
            background.append(asyncio.create_task(operator.change_continuously()))
            work = PlannedWork(fleet, random.Random(rng.random()))
            await work.run(seconds)
            for connection in connections:
                connection.stop()
            await asyncio.gather(*client_tasks)
            await cancel_all(background)
            for target in targets:
                await target.crash()
    violations = [f"{node} did not end within its grace period" for node in work.killed]
    violations += _check(results, executions, targets)
    return PlannedOutcome(
        seed,
        len(results.requests),
        results.served,
        work.stops,
        work.reloads,
        operator.acknowledged,
        tuple(violations),
    )


def _check(results: PlannedResults, executions: dict[str, int], targets: list[Target]) -> list[str]:
    violations = [
        f"another body: {attempt}" for target in targets for attempt in target.damaged_bodies
    ]
    for attempt, request in results.requests.items():
        runs = executions.get(attempt, 0)
        if runs and not request.status and not request.is_overdue:
            violations.append(f"run, and no whole answer: {attempt}")
        if runs > 1 and request.is_mutating:
            violations.append(f"ran twice: {attempt}")
        if runs and request.is_mutating and request.status in _NOT_EXECUTED_STATUSES:
            violations.append(f"promised but ran: {attempt}")
        if request.is_wrong:
            violations.append(f"wrong answer: {attempt}")
    return violations


async def _is_served(results: PlannedResults) -> bool:
    return results.served > 0


async def _wait_for(condition) -> None:
    async with asyncio.timeout(_START_TIMEOUT_SECONDS):
        while not await condition():
            await asyncio.sleep(0.1)
