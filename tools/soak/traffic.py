"""The clients and the operator of a soak, and what they were told."""

import asyncio
import itertools
import json
import random
from dataclasses import dataclass, field

from tools.soak.http_call import CallAnswer, call
from tools.soak.layout import SERVICES, ZONES, Machine, make_configuration
from tools.soak.target import Target

__all__ = ["Clients", "Operator", "Told"]

_PROMISES = (408, 421, 429, 503)
_EVACUATION_TRIES = 4


@dataclass
class Told:
    """What clients were told, by the ids of their requests."""

    asked: int = 0
    served: int = 0
    # Requests of routes that must not run twice, and those promised not to run at all.
    mutating: set[str] = field(default_factory=set)
    promised: set[str] = field(default_factory=set)
    # Successes that were not the target's own whole answer to that request.
    wrong: list[str] = field(default_factory=list)


class Clients:
    """Ask at random machines, one request after the other at a given rate."""

    def __init__(self, sides: list[Machine], per_second: float, choice: random.Random) -> None:
        self.told = Told()
        self._sides = sides
        self._per_second = per_second
        self._random = choice
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Asks for ever."""
        while True:
            task = asyncio.get_running_loop().create_task(self._ask())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.expovariate(self._per_second))

    async def finish(self) -> None:
        """Waits for the answers that are still to come."""
        await asyncio.gather(*self._tasks)

    async def _ask(self) -> None:
        kind = self._random.choice(("read_only", "mutating"))
        attempt = f"a{next(self._numbers)}"
        side = self._random.choice(self._sides)
        self.told.asked += 1
        if kind == "mutating":
            self.told.mutating.add(attempt)
        answer = await call(
            (side.host, side.outbound),
            "GET" if kind == "read_only" else "POST",
            f"/{kind}/{self._random.choice(SERVICES)}/x",
            (f"Attempt-Id: {attempt}", "Deadline-Ms: 1500"),
            b"" if kind == "read_only" else b"order",
            seconds=3.0,
        )
        self._note(attempt, answer)

    def _note(self, attempt: str, answer: CallAnswer) -> None:
        if answer.status in _PROMISES:
            self.told.promised.add(attempt)
        if 200 <= answer.status < 300:
            self.told.served += 1
            seal = f"Server-Seal: s-{attempt}".encode()
            if seal not in answer.head or answer.body != f"done {attempt}".encode():
                self.told.wrong.append(attempt)


class Operator:
    """Changes the configuration and empties zones, whose targets go cold meanwhile."""

    def __init__(self, core: list[Machine], targets: list[Target], choice: random.Random) -> None:
        self.acknowledged = 0
        self.evacuations = 0
        self._core = core
        self._targets = targets
        self._random = choice
        self._versions = itertools.count(1)

    async def change(self) -> bool:
        """Sends the next version until it is acknowledged or was tried at all machines twice."""
        version = next(self._versions)
        body = json.dumps(make_configuration(version)).encode()
        for machine in self._random.sample(self._core, len(self._core)) * 2:
            address = (machine.host, machine.control)
            answer = await call(address, "PUT", "/mesh/configuration", body=body)
            if answer.status == 200:
                self.acknowledged = version
                return True
        return False

    async def change_for_ever(self) -> None:
        """A change every second or two."""
        while True:
            await asyncio.sleep(self._random.uniform(1.0, 2.0))
            await self.change()

    async def evacuate_for_ever(self) -> None:
        """One zone after the other is emptied and taken back."""
        while True:
            zone = self._random.choice(ZONES)
            if await self._order("PUT", zone):
                await asyncio.sleep(self._random.uniform(0.5, 2.5))
                # Cold shortly before the zone is taken back.
                for target in self._targets:
                    if target.machine.zone == zone:
                        target.go_cold()
                await asyncio.sleep(self._random.uniform(0.0, 1.0))
                self.evacuations += 1
            while not await self._order("DELETE", zone):
                await asyncio.sleep(0.1)
            await asyncio.sleep(self._random.uniform(0.5, 2.0))

    async def _order(self, method: str, zone: str) -> bool:
        for machine in self._random.choices(self._core, k=_EVACUATION_TRIES):
            address = (machine.host, machine.control)
            answer = await call(address, method, f"/mesh/evacuations/{zone}")
            if answer.status == 200:
                return True
        return False

    async def read_version(self) -> int:
        """The newest version that a registry shows, 0 if none answers."""
        for machine in self._core:
            answer = await call((machine.host, machine.control), "GET", "/mesh/configuration")
            if answer.status == 200:
                return int(json.loads(answer.body)["config-version"])
        return 0
