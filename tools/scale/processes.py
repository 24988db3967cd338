"""Starts the processes of a scale run, reads their resource usage and stops them."""

import asyncio
import json
import os
import sys
from pathlib import Path
from typing import NamedTuple

from tools.scale.settings import Layout, make_config

__all__ = ["Fleet", "Usage"]

_CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_COMMAND_TIMEOUT_SECONDS = 60.0


class Usage(NamedTuple):
    """The resources that a process has used so far."""

    pid: int
    cpu_seconds: float
    memory_mb: float


class RealProcess:
    """One process of a real program: store, registry or proxy."""

    def __init__(self, role: str, process: asyncio.subprocess.Process) -> None:
        self.role = role
        self.process = process

    def usage(self) -> Usage:
        """CPU seconds and peak resident memory as the kernel counts them."""
        stat = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        peak = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return Usage(
            self.process.pid,
            (int(stat[11]) + int(stat[12])) / _CLOCK_TICKS_PER_SECOND,
            int(peak.split()[1]) / 1024,
        )


class HollowProcess:
    """One process that hosts many hollow nodes."""

    def __init__(self, process: asyncio.subprocess.Process, numbers: range) -> None:
        self.process = process
        self.numbers = numbers
        self._command_lock = asyncio.Lock()

    async def send_command(self, **command) -> dict:
        """Returns the response to a command.

        Raises RuntimeError if the process ended, TimeoutError if it does not respond.
        """
        commands, responses = self.process.stdin, self.process.stdout
        if commands is None or responses is None:
            raise RuntimeError(f"hollow process {self.process.pid} was started without pipes")
        async with self._command_lock, asyncio.timeout(_COMMAND_TIMEOUT_SECONDS):
            commands.write(json.dumps(command).encode() + b"\n")
            await commands.drain()
            line = await responses.readline()
        if not line:
            raise RuntimeError(f"hollow process {self.process.pid} ended")
        return json.loads(line)


class Fleet:
    """All processes of one run; leaving the context kills every one of them."""

    def __init__(self, layout: Layout, folder: Path, nodes_per_process: int) -> None:
        self.layout = layout
        self.real_processes: dict[str, RealProcess] = {}
        self.hollow_processes: list[HollowProcess] = []
        self._folder = folder
        self._nodes_per_process = nodes_per_process

    async def __aenter__(self) -> "Fleet":
        return self

    async def __aexit__(self, *_error) -> None:
        processes = [real.process for real in self.real_processes.values()]
        processes += [hollow.process for hollow in self.hollow_processes]
        for process in processes:
            if process.returncode is None:
                process.kill()
        for process in processes:
            await process.wait()

    async def start_core(self) -> None:
        """Starts stores and registries, each with its own data directory."""
        for number in range(self.layout.core):
            for role in ("store", "registry"):
                await self.start_real_process(role, number, True)

    async def start_real_process(self, role: str, number: int, is_first: bool) -> None:
        """Starts one real program; `is_first` marks the initial start of the system."""
        name = f"{role}-{number}"
        folder = self._folder / name
        folder.mkdir(exist_ok=True)
        is_proxy = role == "proxy"
        host = self.layout.node_host(number) if is_proxy else self.layout.core_host(number)
        text = make_config(
            self.layout, host, name, number, "" if is_proxy else str(folder), is_first
        )
        path = self._folder / f"{name}.conf"
        path.write_text(text)
        with open(self._folder / f"{name}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-P",
                "-m",
                "marblefold",
                role,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": os.getcwd(),
                    "MARBLEFOLD_NODE_FILE": str(path),
                },
            )
        self.real_processes[name] = RealProcess(role, process)

    async def start_hollow_processes(self, first_number: int) -> None:
        """Starts hollow nodes from `first_number` on, a fixed number in each process."""
        layout = self.layout
        for process_first in range(first_number, layout.nodes, self._nodes_per_process):
            numbers = range(
                process_first, min(layout.nodes, process_first + self._nodes_per_process)
            )
            with open(self._folder / f"hollow-{process_first}.log", "ab") as log:
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "tools.scale.hollow",
                    str(layout.nodes),
                    str(layout.core),
                    str(layout.services),
                    str(layout.first_port),
                    str(numbers.start),
                    str(numbers.stop),
                    limit=2**24,
                    stdin=asyncio.subprocess.PIPE,
                    stdout=asyncio.subprocess.PIPE,
                    stderr=log,
                )
            self.hollow_processes.append(HollowProcess(process, numbers))

    async def send_command_to_all(self, **command) -> list[dict]:
        """Sends a command to all hollow processes; returns their responses."""
        return await asyncio.gather(
            *(hollow.send_command(**command) for hollow in self.hollow_processes)
        )

    def usage(self) -> dict[str, Usage]:
        """The usage of each running real program, by its name."""
        return {
            name: real.usage()
            for name, real in self.real_processes.items()
            if real.process.returncode is None
        }
