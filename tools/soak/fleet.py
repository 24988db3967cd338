"""Starts, partitions, signals and kills the programs of a soak test, and no other processes."""

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Iterable
from pathlib import Path

from tools.soak.builds import Builds
from tools.soak.layout import Machine, write_config

__all__ = ["Fleet", "Node"]

# Longer than the grace period of the programs.
_EXIT_TIMEOUT_SECONDS = 8.0


class Node:
    """One program on one machine."""

    def __init__(
        self,
        machine: Machine,
        role: str,
        folder: Path,
        seeds: list[Machine],
        builds: Builds,
        machine_losses: int = 1,
    ) -> None:
        self.machine = machine
        self.role = role
        self.name = f"{machine.name}-{role}"
        self.log = folder / f"{self.name}.log"
        self._folder = folder
        self._seeds = seeds
        self._builds = builds
        self._machine_losses = machine_losses
        self._process: asyncio.subprocess.Process | None = None
        # Whether the next start is the first one of the whole system.
        self.is_first_start = True

    @property
    def unreachable_hosts_file(self) -> Path:
        """The file that lists the addresses this machine cannot reach."""
        return self._folder / f"{self.machine.name}.cut"

    @property
    def data_directory(self) -> Path:
        """The folder that stands for the program's disk."""
        return self._folder / f"{self.name}.data"

    def write_unreachable_hosts(self, hosts: Iterable[str]) -> None:
        """Replaces the file as a whole: the machine's programs poll it."""
        written = self.unreachable_hosts_file.with_suffix(".next")
        written.write_text("\n".join(sorted(hosts)))
        written.replace(self.unreachable_hosts_file)

    async def start(self) -> None:
        """Starts the program, with the data directory of its previous start if there is one."""
        data = ""
        if self.role != "proxy":
            self.data_directory.mkdir(exist_ok=True)
            data = str(self.data_directory)
        config = self._folder / f"{self.name}.conf"
        write_config(
            config, self.machine, self._seeds, data, self.is_first_start, self._machine_losses
        )
        self.is_first_start = False
        source = self._builds.choose()
        with self.log.open("ab") as log:
            log.write(f"soak: starts from {source}\n".encode())
            log.flush()
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "tools.soak.node",
                self.machine.host,
                str(self.unreachable_hosts_file),
                self.role,
                stdout=log,
                stderr=log,
                cwd=source,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(source),
                    "MARBLEFOLD_NODE_FILE": str(config),
                },
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the program if it is running.

        A reload is not sent before the first line of the program has run: until then nothing
        keeps the signal from ending the interpreter.
        """
        process = self._process
        if process is None or process.returncode is not None:
            return
        if signal_number != signal.SIGHUP or _has_disposition(process.pid, signal_number):
            process.send_signal(signal_number)

    @property
    def exited_unexpectedly(self) -> bool:
        """Whether the program exited without a call of `kill`."""
        return self._process is not None and self._process.returncode is not None

    async def wait(self, seconds: float) -> None:
        """Waits until the program has ended by itself, and kills it after the given time."""
        if self._process is not None:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._process.wait(), seconds)
        await self.kill()

    async def kill(self) -> None:
        """Kills the program and waits until it has exited."""
        process, self._process = self._process, None
        if process is not None:
            if process.returncode is None:
                process.kill()
            await process.wait()


def _has_disposition(pid: int, signal_number: signal.Signals) -> bool:
    """Whether the process ignores or handles the signal, by proc(5)."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return False
    masks = [int(line.split()[1], 16) for line in lines if line.startswith(("SigIgn", "SigCgt"))]
    return any(mask >> (signal_number - 1) & 1 for mask in masks)


class Fleet:
    """All programs of the soak test; leaving the context kills every one of them."""

    def __init__(
        self, core: list[Machine], target_machines: list[Machine], folder: Path, builds: Builds
    ) -> None:
        self._builds = builds
        self.stores = [Node(machine, "store", folder, core, builds) for machine in core]
        self.registries = [Node(machine, "registry", folder, core, builds) for machine in core]
        self.proxies = [Node(machine, "proxy", folder, core, builds) for machine in target_machines]
        self._unreachable_hosts: dict[str, set[str]] = {}

    @property
    def nodes(self) -> list[Node]:
        """All programs: stores, registries and proxies."""
        return [*self.stores, *self.registries, *self.proxies]

    async def __aenter__(self) -> "Fleet":
        for node in self.nodes:
            await node.start()
        return self

    async def __aexit__(self, *_error) -> None:
        for node in self.nodes:
            await node.kill()

    async def finish_upgrade(self) -> None:
        """Stops all programs in order, one after the other, and starts their newest version."""
        self._builds.use_newest_only()
        for node in self.nodes:
            node.send_signal(signal.SIGTERM)
            await node.wait(_EXIT_TIMEOUT_SECONDS)
            await node.start()

    def _find_node(self, host: str) -> Node:
        return next(node for node in self.nodes if node.machine.host == host)

    def set_partitioned(self, first_host: str, second_host: str, is_partitioned: bool) -> None:
        """Partitions two addresses from each other, or reconnects them."""
        for source, destination in ((first_host, second_host), (second_host, first_host)):
            hosts = self._unreachable_hosts.setdefault(source, set())
            (hosts.add if is_partitioned else hosts.discard)(destination)
            self._find_node(source).write_unreachable_hosts(hosts)
