"""Random faults of core machines, in series and overlapping, never more than must be tolerated."""

import asyncio
import contextlib
import random
import signal
import time

from tools.soak.core.fleet import CoreFleet, CoreMachine

__all__ = ["CATCH_UP_SECONDS", "CoreFaultInjector"]

# A machine counts as lost for this time after its return (catch-up-s).
CATCH_UP_SECONDS = 6.0
_MAX_CONCURRENT_FAULTS = 3


class CoreFaultInjector:
    """Starts faults one after the other; each ends by itself."""

    def __init__(self, fleet: CoreFleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._tasks: set[asyncio.Task] = set()
        self._busy: set[CoreMachine] = set()
        self._lost_until: dict[CoreMachine, float] = {}
        self._started_at = time.monotonic()
        # Seconds since the first fault, and name of each fault.
        self.injected: list[tuple[float, str]] = []
        self.violations: list[str] = []

    async def run(self, seconds: float) -> None:
        """Injects faults for some seconds; returns when all of them have ended."""
        faults = [
            self._kill_machine,
            self._lose_disk,
            self._lose_power_everywhere,
            self._lose_power_and_disks,
            self._restart_in_order,
            self._reload,
            self._pause,
            self._cut,
            self._replace_lost,
            self._replace_planned,
        ]
        self._started_at = time.monotonic()
        while time.monotonic() - self._started_at < seconds:
            await asyncio.sleep(self._rng.choice([0.0, 0.5, 2.0, 4.0]) * self._rng.random())
            if len(self._tasks) < _MAX_CONCURRENT_FAULTS:
                self._start(self._rng.choice(faults))
        await asyncio.gather(*self._tasks)

    def _start(self, fault) -> None:
        task = asyncio.get_running_loop().create_task(fault())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _note(self, name: str, machines: list[CoreMachine]) -> None:
        names = ",".join(machine.machine.name for machine in machines)
        seconds = round(time.monotonic() - self._started_at, 2)
        self.injected.append((seconds, f"{name} {names}"))
        self._fleet.note_event()

    @contextlib.contextmanager
    def _choose(self, name: str, count: int = 1, is_loss: bool = True):
        """Chooses idle machines, within the losses that must be tolerated; yields none if busy."""
        now = time.monotonic()
        self._lost_until = {each: end for each, end in self._lost_until.items() if end > now}
        idle = [
            machine
            for machine in self._fleet.present
            if machine not in self._busy and machine not in self._lost_until
        ]
        budget = self._fleet.tolerated_losses - len(self._lost_until)
        if len(idle) < count or (is_loss and budget < count):
            yield []
            return
        chosen = self._rng.sample(idle, count)
        self._busy.update(chosen)
        if is_loss:
            self._lost_until.update(dict.fromkeys(chosen, float("inf")))
        self._note(name, chosen)
        try:
            yield chosen
        finally:
            self._note(f"end of {name}", chosen)
            self._busy.difference_update(chosen)
            if is_loss:
                end = time.monotonic() + CATCH_UP_SECONDS
                self._lost_until.update(dict.fromkeys(chosen, end))

    async def _sleep(self, longest: float) -> None:
        await asyncio.sleep(self._rng.uniform(0.05, longest))

    async def _kill_machine(self) -> None:
        with self._choose("kill") as machines:
            for machine in machines:
                await machine.kill()
                await self._sleep(3.0)
                await machine.start()

    async def _lose_disk(self) -> None:
        with self._choose("lose disk", self._rng.randint(1, 2)) as machines:
            for machine in machines:
                await machine.kill()
                machine.wipe_disk()
            await self._sleep(2.0)
            for machine in machines:
                await machine.start()

    async def _lose_power_everywhere(self) -> None:
        """All machines at once; their disks keep their data, so none of them counts as lost."""
        with self._choose("power", len(self._fleet.present), is_loss=False) as machines:
            await self._restart_all(machines, [])

    async def _lose_power_and_disks(self) -> None:
        """All machines lose power, and as many as must be tolerated lose their disks as well."""
        with self._choose("power and disks", self._fleet.tolerated_losses) as lost:
            others = [each for each in self._fleet.present if each not in lost]
            if not lost or self._busy.intersection(others):
                return
            self._busy.update(others)
            await self._restart_all([*lost, *others], lost)
            self._busy.difference_update(others)

    async def _restart_all(self, machines: list[CoreMachine], wiped: list[CoreMachine]) -> None:
        await asyncio.gather(*(machine.kill() for machine in machines))
        for machine in wiped:
            machine.wipe_disk()
        await self._sleep(1.3)
        await asyncio.gather(*(machine.start() for machine in machines))

    async def _restart_in_order(self) -> None:
        with self._choose("SIGTERM") as machines:
            for machine in machines:
                await machine.terminate()
                await machine.start()

    async def _reload(self) -> None:
        with self._choose("SIGHUP", is_loss=False) as machines:
            for machine in machines:
                for _ in range(self._rng.randint(1, 3)):
                    machine.send_signal(signal.SIGHUP)
                    await self._sleep(0.3)

    async def _pause(self) -> None:
        with self._choose("pause") as machines:
            for machine in machines:
                programs = self._rng.sample(machine.programs, self._rng.randint(1, 2))
                for program in programs:
                    program.send_signal(signal.SIGSTOP)
                await self._sleep(3.0)
                for program in programs:
                    program.send_signal(signal.SIGCONT)

    async def _cut(self) -> None:
        with self._choose("cut") as machines:
            for machine in machines:
                self._fleet.set_cut(machine, True)
                await self._sleep(4.0)
                self._fleet.set_cut(machine, False)

    async def _replace_lost(self) -> None:
        """A machine is lost for good; later another takes its place at another address."""
        if not self._fleet.spares:
            return
        with self._choose("lose for good") as machines:
            for machine in machines:
                machine.is_removed = True
                await machine.kill()
                await self._sleep(3.0)
                await self._fleet.add_machine().start()

    async def _replace_planned(self) -> None:
        """The new machine starts first; then the old one gets SIGTERM and its disk goes."""
        if not self._fleet.spares:
            return
        with self._choose("replace") as machines:
            for machine in machines:
                await self._fleet.add_machine().start()
                # The newcomer may be given this time to catch up.
                await asyncio.sleep(CATCH_UP_SECONDS)
                machine.is_removed = True
                await machine.terminate()
