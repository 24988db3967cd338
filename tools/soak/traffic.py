"""The clients and the operator of a soak test, and the responses they received."""

import asyncio
import itertools
import json
import random
from dataclasses import dataclass, field

from tools.soak.http_call import HttpResponse, make_body, send_request
from tools.soak.layout import SERVICES, ZONES, Machine, make_configuration
from tools.soak.target import Target

__all__ = ["ClientResults", "Clients", "Operator"]

_NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
_EVACUATION_ATTEMPTS = 4
# This share of the mutating requests has a body that is sent under flow control.
_UPLOAD_SHARE = 0.2
_UPLOAD_BYTES = (17_000, 200_000)


@dataclass
class ClientResults:
    """Counts of requests, and attempt ids by the response that clients received."""

    sent: int = 0
    served: int = 0
    # Requests of mutating routes, which must not run twice, and requests whose response
    # status promises that they were not executed.
    mutating: set[str] = field(default_factory=set)
    reported_unexecuted: set[str] = field(default_factory=set)
    # Requests with a success status but not the complete response of the target.
    mismatched: list[str] = field(default_factory=list)


class Clients:
    """Send requests to random machines at a given mean rate."""

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
        """Sends requests until cancelled."""
        while True:
            task = asyncio.get_running_loop().create_task(self._send_request())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._rng.expovariate(self._requests_per_second))

    async def finish(self) -> None:
        """Waits for all outstanding responses."""
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
            b"" if kind == "read_only" else make_body(attempt, self._draw_body_size()),
            timeout_seconds=3.0,
        )
        self._record(attempt, answer)

    def _draw_body_size(self) -> int:
        if self._rng.random() < _UPLOAD_SHARE:
            return self._rng.randint(*_UPLOAD_BYTES)
        return len("order")

    def _record(self, attempt: str, answer: HttpResponse) -> None:
        if answer.status in _NOT_EXECUTED_STATUSES:
            self.results.reported_unexecuted.add(attempt)
        if 200 <= answer.status < 300:
            self.results.served += 1
            expected_seal = f"Server-Seal: s-{attempt}".encode()
            if expected_seal not in answer.head or answer.body != f"done {attempt}".encode():
                self.results.mismatched.append(attempt)


class Operator:
    """Changes the configuration and evacuates zones, whose targets become cold meanwhile."""

    def __init__(self, core: list[Machine], targets: list[Target], rng: random.Random) -> None:
        self.acknowledged = 0
        self.evacuations = 0
        self._core = core
        self._targets = targets
        self._rng = rng
        self._versions = itertools.count(1)

    async def change(self) -> bool:
        """Sends the next version to each core machine up to twice, until it is acknowledged."""
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
        """Sends a change every 1 to 2 seconds until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(1.0, 2.0))
            await self.change()

    async def evacuate_continuously(self) -> None:
        """Evacuates random zones one after the other, and ends each evacuation again."""
        while True:
            zone = self._rng.choice(ZONES)
            if await self._send_evacuation("PUT", zone):
                await asyncio.sleep(self._rng.uniform(0.5, 2.5))
                # Targets become cold shortly before the evacuation ends.
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
        """Returns the version shown by the first registry that responds, or 0 if none does."""
        for machine in self._core:
            answer = await send_request(
                (machine.host, machine.control_port), "GET", "/mesh/configuration"
            )
            if answer.status == 200:
                return int(json.loads(answer.body)["config-version"])
        return 0
