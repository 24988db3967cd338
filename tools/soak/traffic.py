"""The clients and the operator of a soak, and what they were told."""

import asyncio
import itertools
import json
import random
from dataclasses import dataclass, field

from tools.soak.http_call import HttpResponse, send_request
from tools.soak.layout import SERVICES, ZONES, Machine, make_configuration
from tools.soak.target import Target

__all__ = ["ClientResults", "Clients", "Operator"]

_NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
_EVACUATION_ATTEMPTS = 4


@dataclass
class ClientResults:
    """What clients were told, by the ids of their requests."""

    sent: int = 0
    served: int = 0
    # Requests of routes that must not run twice, and those promised not to run at all.
    mutating: set[str] = field(default_factory=set)
    reported_unexecuted: set[str] = field(default_factory=set)
    # Successes that were not the target's own whole answer to that request.
    mismatched: list[str] = field(default_factory=list)


class Clients:
    """Ask at random machines, one request after the other at a given rate."""

    def __init__(
        self, target_machines: list[Machine], requests_per_second: float, rng: random.Random
    ) -> None:
        self.results = ClientResults()
        self._target_machines = target_machines
        self._requests_per_second = requests_per_second
        self._rng = rng
        self._attempt_numbers = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Asks for ever."""
        while True:
            task = asyncio.get_running_loop().create_task(self._send_request())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._rng.expovariate(self._requests_per_second))

    async def finish(self) -> None:
        """Waits for the answers that are still to come."""
        await asyncio.gather(*self._tasks)

    async def _send_request(self) -> None:
        kind = self._rng.choice(("read_only", "mutating"))
        attempt = f"a{next(self._attempt_numbers)}"
        machine = self._rng.choice(self._target_machines)
        self.results.sent += 1
        if kind == "mutating":
            self.results.mutating.add(attempt)
        answer = await send_request(
            (machine.host, machine.outbound_port),
            "GET" if kind == "read_only" else "POST",
            f"/{kind}/{self._rng.choice(SERVICES)}/x",
            (f"Attempt-Id: {attempt}", "Deadline-Ms: 1500"),
            b"" if kind == "read_only" else b"order",
            timeout_seconds=3.0,
        )
        self._record(attempt, answer)

    def _record(self, attempt: str, answer: HttpResponse) -> None:
        if answer.status in _NOT_EXECUTED_STATUSES:
            self.results.reported_unexecuted.add(attempt)
        if 200 <= answer.status < 300:
            self.results.served += 1
            expected_seal = f"Server-Seal: s-{attempt}".encode()
            if expected_seal not in answer.head or answer.body != f"done {attempt}".encode():
                self.results.mismatched.append(attempt)


class Operator:
    """Changes the configuration and empties zones, whose targets go cold meanwhile."""

    def __init__(self, core: list[Machine], targets: list[Target], rng: random.Random) -> None:
        self.acknowledged = 0
        self.evacuations = 0
        self._core = core
        self._targets = targets
        self._rng = rng
        self._versions = itertools.count(1)

    async def change(self) -> bool:
        """Sends the next version until it is acknowledged or was tried at all machines twice."""
        version = next(self._versions)
        body = json.dumps(make_configuration(version)).encode()
        for machine in self._rng.sample(self._core, len(self._core)) * 2:
            address = (machine.host, machine.control_port)
            answer = await send_request(address, "PUT", "/mesh/configuration", body=body)
            if answer.status == 200:
                self.acknowledged = version
                return True
        return False

    async def change_continuously(self) -> None:
        """A change every second or two."""
        while True:
            await asyncio.sleep(self._rng.uniform(1.0, 2.0))
            await self.change()

    async def evacuate_continuously(self) -> None:
        """One zone after the other is emptied and taken back."""
        while True:
            zone = self._rng.choice(ZONES)
            if await self._send_evacuation("PUT", zone):
                await asyncio.sleep(self._rng.uniform(0.5, 2.5))
                # Cold shortly before the zone is taken back.
                for target in self._targets:
                    if target.machine.zone == zone:
                        target.go_cold()
                await asyncio.sleep(self._rng.uniform(0.0, 1.0))
                self.evacuations += 1
            while not await self._send_evacuation("DELETE", zone):
                await asyncio.sleep(0.1)
            await asyncio.sleep(self._rng.uniform(0.5, 2.0))

    async def _send_evacuation(self, method: str, zone: str) -> bool:
        for machine in self._rng.choices(self._core, k=_EVACUATION_ATTEMPTS):
            address = (machine.host, machine.control_port)
            answer = await send_request(address, method, f"/mesh/evacuations/{zone}")
            if answer.status == 200:
                return True
        return False

    async def read_version(self) -> int:
        """The newest version that a registry shows, 0 if none answers."""
        for machine in self._core:
            answer = await send_request(
                (machine.host, machine.control_port), "GET", "/mesh/configuration"
            )
            if answer.status == 200:
                return int(json.loads(answer.body)["config-version"])
        return 0
