"""One soak test: runs the whole mesh under random faults and checks its invariants."""

import asyncio
import random
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path

from tools.soak.builds import make_builds
from tools.soak.cancellation import cancel_all
from tools.soak.fault_injection import FaultInjector
from tools.soak.fleet import Fleet
from tools.soak.layout import make_machines
from tools.soak.target import Target
from tools.soak.traffic import ClientResults, Clients, Operator

__all__ = ["Outcome", "soak"]

_START_TIMEOUT_SECONDS = 30.0
# Time after the last fault within which the mesh must serve requests again.
_RECOVERY_TIMEOUT_SECONDS = 15.0
# Log events by which the programs report a violated invariant or a failed background task.
_COLD_FLOOD_EVENT = '"event": "cold target flooded"'
_TASK_FAILURE_EVENT = '"event": "background task failed"'


@dataclass(frozen=True)
class Outcome:
    """The result of one seed; `violations` describes each violated invariant."""

    seed: int
    seconds: float
    asked: int
    served: int
    changes: int
    evacuations: int
    worst_cold_second: int
    troubles: tuple[tuple[float, str], ...]
    # Starts of programs by version, oldest first.
    starts: tuple[int, ...]
    violations: tuple[str, ...]

    def as_dict(self) -> dict:
        """Returns the fields as a JSON object."""
        return asdict(self)


async def soak(
    seed: int, seconds: float, requests_per_second: float, previous: str = ""
) -> Outcome:
    """Runs the mesh under faults for `seconds`.

    previous: a commit whose build runs beside the working tree's, or "production", or "".
    Raises TimeoutError if the mesh does not start.
    """
    rng = random.Random(seed)
    core, target_machines = make_machines()
    executions: dict[str, int] = {}
    targets = [
        Target(machine, executions, random.Random(rng.random())) for machine in target_machines
    ]
    clients = Clients(target_machines, requests_per_second, random.Random(rng.random()))
    operator = Operator(core, targets, random.Random(rng.random()))
    with tempfile.TemporaryDirectory(prefix="soak-") as name:
        folder = Path(name)
        builds = make_builds(previous, folder, random.Random(seed))
        async with Fleet(core, target_machines, folder, builds) as fleet:
            for target in targets:
                await target.start(is_cold=False)
            heartbeat_tasks = [asyncio.create_task(target.run()) for target in targets]
            await _wait_until(operator.change, _START_TIMEOUT_SECONDS)
            client_task = asyncio.create_task(clients.run())
            await _wait_until(lambda: _has_served_requests(clients.results), _START_TIMEOUT_SECONDS)
            operator_tasks = [
                asyncio.create_task(operator.change_continuously()),
                asyncio.create_task(operator.evacuate_continuously()),
            ]
            fault_injector = FaultInjector(fleet, targets, random.Random(rng.random()))
            await fault_injector.run(seconds)
            await cancel_all(operator_tasks)
            violations = await _check_recovery(operator, clients.results)
            if builds.is_mixed:
                await fleet.finish_upgrade()
                violations += await _check_recovery(operator, clients.results)
            await cancel_all([client_task])
            await clients.finish()
            violations += [
                f"{node.name} ended by itself" for node in fleet.nodes if node.exited_unexpectedly
            ]
            await cancel_all(heartbeat_tasks)
            for target in targets:
                await target.crash()
        violations += _check_requests(clients.results, executions)
        violations += [
            f"flooded: {target.machine.name} got "
            f"{target.peak_cold_requests_per_second} in one second"
            for target in targets
            if target.exceeded_cold_limit
        ]
        violations += [
            f"another body: {attempt}" for target in targets for attempt in target.damaged_bodies
        ]
        violations += _check_logs(fleet)
    return Outcome(
        seed,
        seconds,
        clients.results.sent,
        clients.results.served,
        operator.acknowledged,
        operator.evacuations,
        max(target.peak_cold_requests_per_second for target in targets),
        tuple(fault_injector.injected),
        builds.starts,
        tuple(violations),
    )


async def _has_served_requests(results: ClientResults) -> bool:
    return results.served > 0


async def _wait_until(condition, seconds: float) -> None:
    async with asyncio.timeout(seconds):
        while not await condition():
            await asyncio.sleep(0.1)


async def _check_recovery(operator: Operator, results: ClientResults) -> list[str]:
    """Checks that the acknowledged configuration is readable and that requests are served again."""
    violations = []
    deadline = time.monotonic() + _RECOVERY_TIMEOUT_SECONDS
    while (version := await operator.read_version()) < operator.acknowledged:
        if time.monotonic() > deadline:
            violations.append(
                f"configuration {version} after {operator.acknowledged} was acknowledged"
            )
            break
        await asyncio.sleep(0.2)
    served = results.served
    while results.served < served + 20:
        if time.monotonic() > deadline:
            violations.append(f"only {results.served - served} served after the troubles")
            break
        await asyncio.sleep(0.2)
    return violations


def _check_requests(results: ClientResults, executions: dict[str, int]) -> list[str]:
    violations = [
        f"ran twice: {attempt}"
        for attempt in sorted(results.mutating)
        if executions.get(attempt, 0) > 1
    ]
    violations += [
        f"promised but ran: {attempt}"
        for attempt in sorted(results.reported_unexecuted & results.mutating)
        if executions.get(attempt)
    ]
    violations += [f"wrong answer: {attempt}" for attempt in results.mismatched]
    return violations


def _check_logs(fleet: Fleet) -> list[str]:
    """Returns violations that the programs logged themselves, the first of each event per log."""
    violations = []
    for node in fleet.nodes:
        text = node.log.read_text(errors="replace")
        for event in (_COLD_FLOOD_EVENT, _TASK_FAILURE_EVENT):
            if event in text:
                line = next(line for line in text.splitlines() if event in line)
                violations.append(f"{node.name}: {line[:600]}")
    return violations
