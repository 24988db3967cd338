"""One soak: the whole mesh under random troubles, and what it came to."""

import asyncio
import random
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path

from tools.soak.fleet import Fleet
from tools.soak.layout import make_machines
from tools.soak.target import Target
from tools.soak.traffic import Clients, Operator, Told
from tools.soak.troubles import Troubles

__all__ = ["Outcome", "soak"]

_START_SECONDS = 30.0
# How long after the last trouble everything must answer again.
_RECOVERY_SECONDS = 15.0
# Log lines of the programs' own invariants.
_VIOLATION = '"event": "cold target flooded"'
_BROKEN_TASK = '"event": "background task failed"'


@dataclass(frozen=True)
class Outcome:
    """What one seed came to; `violations` names each invariant that did not hold."""

    seed: int
    seconds: float
    asked: int
    served: int
    changes: int
    evacuations: int
    worst_cold_second: int
    troubles: tuple[tuple[float, str], ...]
    violations: tuple[str, ...]

    def as_dict(self) -> dict:
        """For a report in JSON."""
        return asdict(self)


async def soak(seed: int, seconds: float, per_second: float) -> Outcome:
    """Runs the mesh for so many seconds of troubles. Raises TimeoutError if it does not start."""
    choice = random.Random(seed)
    core, sides = make_machines()
    ran: dict[str, int] = {}
    targets = [Target(machine, ran, random.Random(choice.random())) for machine in sides]
    clients = Clients(sides, per_second, random.Random(choice.random()))
    operator = Operator(core, targets, random.Random(choice.random()))
    with tempfile.TemporaryDirectory(prefix="soak-") as name:
        folder = Path(name)
        async with Fleet(core, sides, folder) as fleet:
            for target in targets:
                await target.start(is_cold=False)
            beats = [asyncio.create_task(target.run()) for target in targets]
            await _until(operator.change, _START_SECONDS)
            load = asyncio.create_task(clients.run())
            await _until(lambda: _is_served(clients.told), _START_SECONDS)
            orders = [
                asyncio.create_task(operator.change_for_ever()),
                asyncio.create_task(operator.evacuate_for_ever()),
            ]
            troubles = Troubles(fleet, targets, random.Random(choice.random()))
            await troubles.run(seconds)
            await _stop(orders)
            violations = await _check_recovery(operator, clients.told)
            await _stop([load])
            await clients.finish()
            violations += [
                f"{n.name} ended by itself" for n in fleet.nodes if n.has_ended_by_itself
            ]
            await _stop(beats)
            for target in targets:
                await target.crash()
        violations += _check_requests(clients.told, ran)
        violations += [
            f"flooded: {target.machine.name} got {target.worst_cold_second} in one second"
            for target in targets
            if target.is_flooded
        ]
        violations += _check_logs(fleet)
    return Outcome(
        seed,
        seconds,
        clients.told.asked,
        clients.told.served,
        operator.acknowledged,
        operator.evacuations,
        max(target.worst_cold_second for target in targets),
        tuple(troubles.played),
        tuple(violations),
    )


async def _is_served(told: Told) -> bool:
    return told.served > 0


async def _until(condition, seconds: float) -> None:
    async with asyncio.timeout(seconds):
        while not await condition():
            await asyncio.sleep(0.1)


async def _stop(tasks: list[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _check_recovery(operator: Operator, told: Told) -> list[str]:
    """After the troubles: what was acknowledged is there, and requests are served."""
    found = []
    ends = time.monotonic() + _RECOVERY_SECONDS
    while (version := await operator.read_version()) < operator.acknowledged:
        if time.monotonic() > ends:
            found.append(f"configuration {version} after {operator.acknowledged} was acknowledged")
            break
        await asyncio.sleep(0.2)
    served = told.served
    while told.served < served + 20:
        if time.monotonic() > ends:
            found.append(f"only {told.served - served} served after the troubles")
            break
        await asyncio.sleep(0.2)
    return found


def _check_requests(told: Told, ran: dict[str, int]) -> list[str]:
    found = [
        f"ran twice: {attempt}" for attempt in sorted(told.mutating) if ran.get(attempt, 0) > 1
    ]
    found += [
        f"promised but ran: {attempt}"
        for attempt in sorted(told.promised & told.mutating)
        if ran.get(attempt)
    ]
    found += [f"wrong answer: {attempt}" for attempt in told.wrong]
    return found


def _check_logs(fleet: Fleet) -> list[str]:
    """The programs' own invariants, as they logged them."""
    found = []
    for node in fleet.nodes:
        text = node.log.read_text(errors="replace")
        for mark in (_VIOLATION, _BROKEN_TASK):
            if mark in text:
                line = next(line for line in text.splitlines() if mark in line)
                found.append(f"{node.name}: {line[:600]}")
    return found
