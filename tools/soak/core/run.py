"""One soak test of the core: reads at every registry under changes and faults."""

import asyncio
import random
import shutil
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

from tools.soak.builds import make_builds
from tools.soak.cancellation import cancel_all
from tools.soak.core.clients import ConfigurationHistory, Operator, Reader
from tools.soak.core.faults import CATCH_UP_SECONDS, CoreFaultInjector
from tools.soak.core.fleet import CoreFleet
from tools.soak.layout import Machine, make_core_machines

__all__ = ["CoreSoakOutcome", "CoreSoakSettings", "soak_core"]

_MACHINES = 5
_SPARES = 6
_START_SECONDS = 60.0
_WARM_UP_SECONDS = 6.0
# In calm times a registry answers within this time (contact-window-ms), and times are calm
# once this much has passed since the last event.
_CONTACT_WINDOW_SECONDS = 3.0
# The whole core answers again within this time of its return (recovery-s).
_RECOVERY_SECONDS = 15.0


class CoreSoakSettings(NamedTuple):
    """What one run does; `logs` names a folder to keep the programs' logs in, if not empty.

    previous: a commit whose build runs beside the working tree's, or "production", or "".
    """

    seed: int
    seconds: float
    readers: int = 4
    operators: int = 1
    has_faults: bool = True
    logs: str = ""
    previous: str = ""


@dataclass(frozen=True)
class CoreSoakOutcome:
    """The result of one seed; `violations` describes each violated invariant."""

    seed: int
    answered: int
    unanswered: int
    changes: int
    acknowledged: int
    # The longest time without a 200 at a registry in calm times, in seconds.
    longest_calm_gap: float
    faults: tuple[tuple[float, str], ...]
    # Starts of programs by version, oldest first.
    starts: tuple[int, ...]
    violations: tuple[str, ...]


class CoreSoak:
    """The programs, clients and results of one run."""

    def __init__(self, settings: CoreSoakSettings, folder: Path) -> None:
        self._settings = settings
        self._rng = random.Random(settings.seed)
        machines = make_core_machines(_MACHINES + _SPARES)
        self._builds = make_builds(settings.previous, folder, random.Random(settings.seed))
        self._fleet = CoreFleet(machines[:_MACHINES], machines[_MACHINES:], folder, self._builds)
        self._history = ConfigurationHistory()
        self._readers: dict[str, list[Reader]] = {}
        self._tasks: list[asyncio.Task] = []
        self._targets: list[Machine] = []
        self._violations: list[str] = []
        self._longest_calm_gap = 0.0
        self._injector = CoreFaultInjector(self._fleet, random.Random(self._rng.random()))

    async def run(self) -> CoreSoakOutcome:
        """Plays the faults and returns the result."""
        async with self._fleet:
            await self._start()
            watch = asyncio.create_task(self._watch())
            if self._settings.has_faults:
                await self._injector.run(self._settings.seconds)
            else:
                await asyncio.sleep(self._settings.seconds)
            await self._check_end()
            results = await cancel_all([watch, *self._tasks])
            self._violations += [
                f"soak task failed: {error!r}" for error in results if isinstance(error, Exception)
            ]
        return self._make_outcome()

    async def _start(self) -> None:
        """Waits until a first change is acknowledged and the view has had time to grow."""
        self._follow_fleet()
        first = Operator("first", self._history, self._rng)
        starting = asyncio.create_task(first.run(self._targets))
        async with asyncio.timeout(_START_SECONDS):
            while not self._history.newest_acknowledged:
                await asyncio.sleep(0.1)
        await asyncio.sleep(_WARM_UP_SECONDS)
        await cancel_all([starting])
        for readers in self._readers.values():
            for reader in readers:
                reader.reads.clear()
        self._history.sent = self._history.acknowledged = 0
        # Calm times are counted from here.
        self._fleet.note_event()
        for number in range(self._settings.operators):
            operator = Operator(
                f"operator-{number}", self._history, random.Random(self._rng.random())
            )
            self._tasks.append(asyncio.create_task(operator.run(self._targets)))

    async def _watch(self) -> None:
        """Follows the machines as they come and go, and checks reads while times are calm."""
        while True:
            await asyncio.sleep(0.1)
            self._follow_fleet()
            now = time.monotonic()
            calm_since = self._fleet.last_event_at + _CONTACT_WINDOW_SECONDS
            if now > calm_since:
                self._check_gaps(calm_since, now)

    def _follow_fleet(self) -> None:
        self._targets[:] = [machine.machine for machine in self._fleet.present]
        for machine in self._targets:
            if machine.name not in self._readers:
                self._readers[machine.name] = [
                    Reader(machine, self._history, random.Random(self._rng.random()))
                    for _ in range(self._settings.readers)
                ]
                self._tasks += [
                    asyncio.create_task(reader.run()) for reader in self._readers[machine.name]
                ]

    def _check_gaps(self, calm_since: float, now: float) -> None:
        for machine in self._fleet.present:
            answered = [
                read.answered_at
                for reader in self._readers[machine.machine.name]
                for read in reader.reads[-50:]
                if read.status == 200
            ]
            gap = now - max([calm_since, *answered])
            self._longest_calm_gap = max(self._longest_calm_gap, gap)
            text = f"{machine.machine.name} answered no read in calm times"
            if gap > _CONTACT_WINDOW_SECONDS and text not in self._violations:
                self._violations.append(text)

    async def _check_end(self) -> None:
        """After the last fault, every registry must show the newest acknowledged version."""
        if self._settings.has_faults:
            await asyncio.sleep(CATCH_UP_SECONDS + _CONTACT_WINDOW_SECONDS)
        deadline = time.monotonic() + _RECOVERY_SECONDS
        since = time.monotonic()
        waiting = {machine.machine.name for machine in self._fleet.present}
        while waiting and time.monotonic() < deadline:
            await asyncio.sleep(0.1)
            waiting = {
                name
                for name in waiting
                if not any(
                    read.status == 200 and read.sent_at > since
                    for reader in self._readers[name]
                    for read in reader.reads
                )
            }
        self._violations += [f"{name} answered no read at the end" for name in sorted(waiting)]
        self._violations += [
            f"{program.name} ended by itself"
            for machine in self._fleet.present
            for program in machine.programs
            if program.exited_unexpectedly
        ]

    def _make_outcome(self) -> CoreSoakOutcome:
        reads = [
            read
            for readers in self._readers.values()
            for reader in readers
            for read in reader.reads
        ]
        answered = sum(read.status == 200 for read in reads)
        violations = [*self._violations, *dict.fromkeys(self._history.violations)]
        if not self._settings.has_faults and answered < len(reads):
            violations.append(f"{len(reads) - answered} of {len(reads)} reads not answered")
        # The last change may still be under way at the end.
        unanswered = self._history.sent - self._history.acknowledged - self._settings.operators
        if not self._settings.has_faults and unanswered > 0:
            violations.append(f"{unanswered} of {self._history.sent} changes not acknowledged")
        return CoreSoakOutcome(
            self._settings.seed,
            answered,
            len(reads) - answered,
            self._history.sent,
            self._history.acknowledged,
            self._longest_calm_gap,
            tuple(self._injector.injected),
            self._builds.starts,
            tuple(violations),
        )


async def soak_core(settings: CoreSoakSettings) -> CoreSoakOutcome:
    """Runs one seed. Raises TimeoutError if the core does not start."""
    with tempfile.TemporaryDirectory(prefix="soak-core-") as name:
        outcome = await CoreSoak(settings, Path(name)).run()
        if settings.logs:
            kept = Path(settings.logs) / f"seed-{settings.seed}"
            kept.mkdir(parents=True, exist_ok=True)
            for log in Path(name).glob("*.log"):
                shutil.copy(log, kept)
        return outcome
