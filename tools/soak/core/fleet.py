"""The core machines of a soak test: each runs a store and a registry."""

import asyncio
import shutil
import signal
import time
from pathlib import Path

from tools.soak.builds import Builds
from tools.soak.fleet import Node
from tools.soak.layout import Machine

__all__ = ["CoreFleet", "CoreMachine"]

_SEEDS = 3
# Longer than the grace period of the programs.
_EXIT_TIMEOUT_SECONDS = 8.0


class CoreMachine:
    """One core machine and its two programs."""

    def __init__(
        self, machine: Machine, seeds: list[Machine], folder: Path, builds: Builds, losses: int
    ) -> None:
        self.machine = machine
        self.programs = [
            Node(machine, role, folder, seeds, builds, losses) for role in ("store", "registry")
        ]
        self.is_removed = False

    async def start(self) -> None:
        """Starts both programs."""
        for program in self.programs:
            await program.start()

    async def kill(self) -> None:
        """Kills both programs; the disk keeps its data."""
        for program in self.programs:
            await program.kill()

    async def terminate(self) -> None:
        """Sends SIGTERM and waits until both programs have ended."""
        self.send_signal(signal.SIGTERM)
        await asyncio.gather(*(each.wait(_EXIT_TIMEOUT_SECONDS) for each in self.programs))

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to both programs."""
        for program in self.programs:
            program.send_signal(signal_number)

    def wipe_disk(self) -> None:
        """Removes what the stopped programs kept on disk."""
        for program in self.programs:
            shutil.rmtree(program.data_directory, ignore_errors=True)


class CoreFleet:
    """All core machines; leaving the context kills every program."""

    def __init__(
        self, machines: list[Machine], spares: list[Machine], folder: Path, builds: Builds
    ) -> None:
        self.tolerated_losses = (len(machines) - 1) // 2
        self.spares = list(spares)
        self._folder = folder
        self._builds = builds
        self._unreachable_hosts: dict[str, set[str]] = {}
        self.machines = [self._make_machine(machine, machines[:_SEEDS]) for machine in machines]
        # Time of the last fault, or of the end of one, as the operators' rules count them.
        self.last_event_at = time.monotonic()

    async def __aenter__(self) -> "CoreFleet":
        await asyncio.gather(*(machine.start() for machine in self.machines))
        return self

    async def __aexit__(self, *_error) -> None:
        await asyncio.gather(*(machine.kill() for machine in self.machines))

    @property
    def present(self) -> list[CoreMachine]:
        """The machines that were not replaced."""
        return [machine for machine in self.machines if not machine.is_removed]

    def add_machine(self) -> CoreMachine:
        """Adds a machine at an unused address, whose seeds are three of the present machines."""
        seeds = [machine.machine for machine in self.present[:_SEEDS]]
        machine = self._make_machine(self.spares.pop(0), seeds, is_first=False)
        self.machines.append(machine)
        return machine

    def set_cut(self, machine: CoreMachine, is_cut: bool) -> None:
        """Cuts a machine from all other core machines, or reconnects it."""
        for other in self.machines:
            if other is not machine:
                self._set_cut(machine, other, is_cut)
                self._set_cut(other, machine, is_cut)

    def note_event(self) -> None:
        """Notes that a fault began or ended now."""
        self.last_event_at = time.monotonic()

    def _make_machine(
        self, machine: Machine, seeds: list[Machine], is_first: bool = True
    ) -> CoreMachine:
        made = CoreMachine(machine, seeds, self._folder, self._builds, self.tolerated_losses)
        for program in made.programs:
            program.is_first_start = is_first
        return made

    def _set_cut(self, source: CoreMachine, destination: CoreMachine, is_cut: bool) -> None:
        hosts = self._unreachable_hosts.setdefault(source.machine.host, set())
        (hosts.add if is_cut else hosts.discard)(destination.machine.host)
        source.programs[0].write_unreachable_hosts(hosts)
