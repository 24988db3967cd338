"""Starts, measures and ends the processes of a scale run."""

import asyncio
import json
import os
import sys
from pathlib import Path
from typing import NamedTuple

from tools.scale.settings import Layout, make_config

__all__ = ["Fleet", "Usage"]

_TICKS = os.sysconf("SC_CLK_TCK")
_CALL_SECONDS = 60.0


class Usage(NamedTuple):
    """What a process has used so far."""

    process: int
    cpu_seconds: float
    memory_mb: float


class Real:
    """One real program."""

    def __init__(self, role: str, process: asyncio.subprocess.Process) -> None:
        self.role = role
        self.process = process

    def usage(self) -> Usage:
        """Processor seconds and peak memory as the kernel counts them."""
        stat = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        peak = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return Usage(
            self.process.pid, (int(stat[11]) + int(stat[12])) / _TICKS, int(peak.split()[1]) / 1024
        )


class Hollows:
    """One process of many hollow nodes."""

    def __init__(self, process: asyncio.subprocess.Process, numbers: range) -> None:
        self.process = process
        self.numbers = numbers
        self._turn = asyncio.Lock()

    async def ask(self, **command) -> dict:
        """Its answer to a command. Raises RuntimeError if it ended, TimeoutError if it hangs."""
        commands, answers = self.process.stdin, self.process.stdout
        if commands is None or answers is None:
            raise RuntimeError(f"hollow process {self.process.pid} was started without pipes")
        async with self._turn, asyncio.timeout(_CALL_SECONDS):
            commands.write(json.dumps(command).encode() + b"\n")
            await commands.drain()
            line = await answers.readline()
        if not line:
            raise RuntimeError(f"hollow process {self.process.pid} ended")
        return json.loads(line)


class Fleet:
    """All processes of one run; leaving the context ends every one of them."""

    def __init__(self, layout: Layout, folder: Path, each: int) -> None:
        self.layout = layout
        self.reals: dict[str, Real] = {}
        self.hollows: list[Hollows] = []
        self._folder = folder
        self._each = each

    async def __aenter__(self) -> "Fleet":
        return self

    async def __aexit__(self, *_error) -> None:
        processes = [real.process for real in self.reals.values()]
        processes += [hollows.process for hollows in self.hollows]
        for process in processes:
            if process.returncode is None:
                process.kill()
        for process in processes:
            await process.wait()

    async def start_core(self) -> None:
        """Starts stores and registries, each with a folder of its own."""
        for number in range(self.layout.core):
            for role in ("store", "registry"):
                await self.start_real(role, number, True)

    async def start_real(self, role: str, number: int, is_first: bool) -> None:
        """Starts one real program; `is_first` for the first start of the system."""
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
        self.reals[name] = Real(role, process)

    async def start_hollows(self, first: int) -> None:
        """Starts all nodes from number `first` on, a fixed number in each process."""
        layout = self.layout
        for begin in range(first, layout.nodes, self._each):
            numbers = range(begin, min(layout.nodes, begin + self._each))
            with open(self._folder / f"hollow-{begin}.log", "ab") as log:
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
            self.hollows.append(Hollows(process, numbers))

    async def ask_all(self, **command) -> list[dict]:
        """The answers of all hollow processes."""
        return await asyncio.gather(*(hollows.ask(**command) for hollows in self.hollows))

    def usage(self) -> dict[str, Usage]:
        """What each real program has used so far."""
        return {
            name: real.usage()
            for name, real in self.reals.items()
            if real.process.returncode is None
        }
