"""python3 -m tools.scale.hop: the latency that a hop through two real proxies adds.

A client calls a target directly and through the mesh in turn, one call at a
time and then at a given rate; proxies, registry and store are real processes.
"""

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path

from absl import flags

from tools.scale.phases import Phases
from tools.scale.processes import Fleet
from tools.scale.settings import Layout

__all__ = ["main"]

FLAGS = flags.FLAGS
flags.DEFINE_integer("calls", 1000, "Calls of each sort.", lower_bound=10, upper_bound=100_000)
flags.DEFINE_float(
    "rate", 60.0, "Calls a second in the second part.", lower_bound=1, upper_bound=1000
)
flags.DEFINE_integer("port", 25000, "The first port.", lower_bound=1024, upper_bound=60000)

_NODES = 2
_USAGE = 2


async def _serve_target(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A target that answers at once."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
            size = int(fields.get("Content-Length", 0))
            if size:
                await reader.readexactly(size)
            host = writer.get_extra_info("sockname")[0]
            more = (
                f"Attempt-Id: {fields.get('Attempt-Id', '')}\r\nServer-Seal: s\r\n"
                if "Attempt-Id" in fields
                else f"Instance-Id: i-{host}\r\nServer-Load: 0,0,8\r\n"
            )
            writer.write(f"HTTP/1.1 200 OK\r\n{more}Content-Length: 4\r\n\r\ndone".encode())
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
        writer.close()


class _Client:
    """One kept connection."""

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port

    async def open(self) -> None:
        self._reader, self._writer = await asyncio.open_connection(self._host, self._port)

    async def ask(self, number: int) -> tuple[int, float]:
        """Status and seconds of one call."""
        began = time.perf_counter()
        self._writer.write(
            (
                f"GET /p0/x HTTP/1.1\r\nHost: host0.example\r\nAttempt-Id: a{number}\r\n"
                "Deadline-Ms: 4000\r\n\r\n"
            ).encode()
        )
        head = await self._reader.readuntil(b"\r\n\r\n")
        size = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        await self._reader.readexactly(size)
        return int(head.split(b" ")[1]), time.perf_counter() - began


async def _measure(layout: Layout, folder: str) -> dict:
    async with Fleet(layout, Path(folder), 1) as fleet:
        hosts = [layout.node_host(number) for number in range(_NODES)]
        servers = [
            await asyncio.start_server(_serve_target, host, layout.first_port + 12)
            for host in hosts
        ]
        phases = Phases(fleet, 20, 1.0, 0.0, 60.0)
        await fleet.start_core()
        await phases._put_configuration()
        for number in range(_NODES):
            await fleet.start_real("proxy", number, True)
        straight, through = (
            _Client(hosts[0], layout.first_port + 12),
            _Client(hosts[0], layout.first_port + 10),
        )
        await straight.open()
        async with asyncio.timeout(30):
            while True:
                try:
                    await through.open()
                    if (await through.ask(0))[0] == 200:
                        break
                except (ConnectionError, asyncio.IncompleteReadError):
                    pass
                await asyncio.sleep(0.05)
        for number in range(200):
            await through.ask(number)
        before = fleet.usage()
        plain, meshed = [], []
        for number in range(FLAGS.calls):
            plain.append((await straight.ask(number))[1])
            status, seconds = await through.ask(number)
            assert status == 200, status
            meshed.append(seconds)
        used = {
            name: fleet.usage()[name].cpu_seconds - usage.cpu_seconds
            for name, usage in before.items()
        }
        paced = []
        for number in range(FLAGS.calls):
            await asyncio.sleep(1.0 / FLAGS.rate)
            paced.append((await through.ask(number))[1])
        for server in servers:
            server.close()
    proxies = sum(seconds for name, seconds in used.items() if name.startswith("proxy"))
    return {
        "calls": FLAGS.calls,
        "proxy-cpu-ms-a-call": proxies / FLAGS.calls * 1000,
        "straight-ms": _describe(plain),
        "meshed-ms": _describe(meshed),
        "meshed-paced-ms": _describe(paced),
    }


def _describe(seconds: list[float]) -> dict:
    ordered = sorted(seconds)
    return {
        name: round(ordered[int(len(ordered) * share)] * 1000, 3)
        for name, share in (("p50", 0.5), ("p90", 0.9), ("p99", 0.99))
    }


def main(arguments: list[str]) -> int:
    """Runs as the flags say; the exit status: 0 done, 2 wrong usage."""
    try:
        rest = FLAGS(arguments)
    except flags.Error as error:
        print(error, file=sys.stderr)
        return _USAGE
    if rest[1:]:
        print("usage: python3 -m tools.scale.hop [--calls=N] [--rate=R]", file=sys.stderr)
        return _USAGE
    layout = Layout(_NODES, 1, 1, FLAGS.port)
    with tempfile.TemporaryDirectory(prefix="hop-") as folder:
        print(json.dumps(asyncio.run(_measure(layout, folder)), indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
