"""python3 -m tools.scale.hop: the latency that a hop through two real proxies adds.

A client calls a target directly and through the mesh alternately, one call at a
time, and then through the mesh at a given rate; proxies, registry and store are
real processes.
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
flags.DEFINE_integer("calls", 1000, "Calls of each kind.", lower_bound=10, upper_bound=100_000)
flags.DEFINE_float(
    "rate", 60.0, "Calls a second in the paced part.", lower_bound=1, upper_bound=1000
)
flags.DEFINE_integer("port", 25000, "The first port.", lower_bound=1024, upper_bound=60000)

_PROXY_COUNT = 2
_EXIT_USAGE = 2


async def _serve_target(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serves one connection of a target that responds immediately."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            request_headers = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
            size = int(request_headers.get("Content-Length", 0))
            if size:
                await reader.readexactly(size)
            host = writer.get_extra_info("sockname")[0]
            response_headers = (
                f"Attempt-Id: {request_headers.get('Attempt-Id', '')}\r\nServer-Seal: s\r\n"
                if "Attempt-Id" in request_headers
                else f"Instance-Id: i-{host}\r\nServer-Load: 0,0,8\r\n"
            )
            writer.write(
                f"HTTP/1.1 200 OK\r\n{response_headers}Content-Length: 4\r\n\r\ndone".encode()
            )
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
        writer.close()


class _KeepAliveClient:
    """A client that sends its requests on one keep-alive connection."""

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port

    async def open(self) -> None:
        self._reader, self._writer = await asyncio.open_connection(self._host, self._port)

    async def send_request(self, number: int) -> tuple[int, float]:
        """Sends one request; returns its status and latency in seconds."""
        started_at = time.perf_counter()
        self._writer.write(
            (
                f"GET /p0/x HTTP/1.1\r\nHost: host0.example\r\nAttempt-Id: a{number}\r\n"
                "Deadline-Ms: 4000\r\n\r\n"
            ).encode()
        )
        head = await self._reader.readuntil(b"\r\n\r\n")
        size = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        await self._reader.readexactly(size)
        return int(head.split(b" ")[1]), time.perf_counter() - started_at


async def _measure(layout: Layout, folder: str) -> dict:
    async with Fleet(layout, Path(folder), 1) as fleet:
        hosts = [layout.node_host(number) for number in range(_PROXY_COUNT)]
        servers = [
            await asyncio.start_server(_serve_target, host, layout.first_port + 12)
            for host in hosts
        ]
        phases = Phases(fleet, 20, 1.0, 0.0, 60.0)
        await fleet.start_core()
        await phases.put_configuration()
        for number in range(_PROXY_COUNT):
            await fleet.start_real_process("proxy", number, True)
        direct, via_mesh = (
            _KeepAliveClient(hosts[0], layout.first_port + 12),
            _KeepAliveClient(hosts[0], layout.first_port + 10),
        )
        await direct.open()
        async with asyncio.timeout(30):
            while True:
                try:
                    await via_mesh.open()
                    if (await via_mesh.send_request(0))[0] == 200:
                        break
                except (ConnectionError, asyncio.IncompleteReadError):
                    pass
                await asyncio.sleep(0.05)
        for number in range(200):
            await via_mesh.send_request(number)
        before = fleet.usage()
        direct_seconds, mesh_seconds = [], []
        for number in range(FLAGS.calls):
            direct_seconds.append((await direct.send_request(number))[1])
            status, seconds = await via_mesh.send_request(number)
            assert status == 200, status
            mesh_seconds.append(seconds)
        cpu_seconds_used = {
            name: fleet.usage()[name].cpu_seconds - usage.cpu_seconds
            for name, usage in before.items()
        }
        paced_seconds = []
        for number in range(FLAGS.calls):
            await asyncio.sleep(1.0 / FLAGS.rate)
            paced_seconds.append((await via_mesh.send_request(number))[1])
        for server in servers:
            server.close()
    proxy_cpu_seconds = sum(
        seconds for name, seconds in cpu_seconds_used.items() if name.startswith("proxy")
    )
    return {
        "calls": FLAGS.calls,
        "proxy-cpu-ms-a-call": proxy_cpu_seconds / FLAGS.calls * 1000,
        "straight-ms": _percentiles_ms(direct_seconds),
        "meshed-ms": _percentiles_ms(mesh_seconds),
        "meshed-paced-ms": _percentiles_ms(paced_seconds),
    }


def _percentiles_ms(seconds: list[float]) -> dict:
    ordered = sorted(seconds)
    return {
        name: round(ordered[int(len(ordered) * fraction)] * 1000, 3)
        for name, fraction in (("p50", 0.5), ("p90", 0.9), ("p99", 0.99))
    }


def main(arguments: list[str]) -> int:
    """Runs with the given flags; returns the exit status: 0 done, 2 wrong usage."""
    try:
        positional = FLAGS(arguments)
    except flags.Error as error:
        print(error, file=sys.stderr)
        return _EXIT_USAGE
    if positional[1:]:
        print("usage: python3 -m tools.scale.hop [--calls=N] [--rate=R]", file=sys.stderr)
        return _EXIT_USAGE
    layout = Layout(_PROXY_COUNT, 1, 1, FLAGS.port)
    with tempfile.TemporaryDirectory(prefix="hop-") as folder:
        print(json.dumps(asyncio.run(_measure(layout, folder)), indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
