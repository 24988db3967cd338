"""Starts the project's programs with the commands of the deploy file, on loopback addresses.

Every machine has an address of its own below 127.0.0.0/8; ports are alike on all machines.
Only processes started here are signalled.
"""

import asyncio
import contextlib
import os
import signal
import socket
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("hall-a", "hall-b", "hall-c")
FIRST_PORT = 21500
CONTROL, OUTBOUND, APPLICATION, READINESS, INNER = range(FIRST_PORT, FIRST_PORT + 5)
# The figures of the small deployment "sciage-nord" in the users' pages.
GRACE_SECONDS = 6.0
BEAT_SECONDS = 1.3
SETTINGS = """
region=sfax
zones.hall-a=sfax
zones.hall-b=sfax
zones.hall-c=sfax
loss-counted={counted}
limits.cpu-share=0.86
limits.cpu-cores=1
limits.memory-mb=300
limits.max-file-descriptors=4100
limits.link-mbps=1000.0
limits.disk-mb={disk}
discovery-source=local_config
entry-type=local_config
heartbeat-interval-ms=1300
contracts=base,drain,config,cost,retry,recover,places
fault-tolerance.machine-losses=1
fault-tolerance.zones=1
fault-tolerance.region-losses=0
bounds.seed-lag-s=3
bounds.address-reuse-s=2
bounds.contact-window-ms=3000
bounds.ack-timeout-ms=4000
bounds.catch-up-s=4
bounds.drain-timeout-ms=2000
bounds.grace-period-s=6
bounds.loss-slack-ms=200
bounds.config-apply-ms=2000
bounds.rollback-slack-ms=250
bounds.max-stretch-ms=5000
bounds.retry-budget-ratio=0.2
bounds.retry-window-s=10
bounds.retry-budget-slack=56
bounds.cold-overage=1.5
bounds.cold-slack=5
bounds.evacuation-ms=5000
bounds.recovery-s=15
config-mode=highest
"""


def find_network() -> str:
    """Returns the first three numbers of addresses whose ports are free."""
    for attempt in range(200):
        number = os.getpid() + attempt * 37
        network = f"127.{64 + number % 120}.{1 + number // 120 % 250}"
        try:
            for port in range(FIRST_PORT, FIRST_PORT + 8):
                with socket.socket() as probe:
                    probe.bind((f"{network}.11", port))
            return network
        except OSError:
            continue
    raise OSError("no free loopback addresses")


class Program:
    """One program of one machine."""

    def __init__(self, role: str, machine: "Machine", folder: Path) -> None:
        self.role, self.machine, self.folder = role, machine, folder
        self.process: asyncio.subprocess.Process | None = None
        self.first = True
        self.flags: list[str] = []

    @property
    def data(self) -> Path:
        return self.folder / f"{self.machine.name}-{self.role}.data"

    def write_settings(self) -> Path:
        machine = self.machine
        lines = [
            f"node-name={machine.name}",
            f"role={self.role}",
            f"machine-class={'sidecar' if machine.service else 'core'}",
            f"served-roles={'sidecar' if machine.service else 'control'}",
            f"ip-address={machine.host}",
            f"zone={machine.zone}",
            f"listen-addresses.control-plane={machine.host}:{CONTROL}",
            f"internal-port-range={INNER},{INNER + 8}",
            "seed-nodes=" + ",".join(f"{host}:{CONTROL}" for host in machine.seeds),
            f"initial-start={str(self.first).lower()}",
        ]
        if machine.service:
            lines += [
                f"listen-addresses.inbound={machine.host}:{INNER + 9}",
                f"listen-addresses.outbound={machine.host}:{OUTBOUND}",
                f"listen-addresses.readiness={machine.host}:{READINESS}",
                f"app-address={machine.host}:{APPLICATION}",
                f"upstream={machine.service}",
            ]
        else:
            self.data.mkdir(exist_ok=True)
            lines.append(f"data-directory={self.data}")
        path = self.folder / f"{machine.name}-{self.role}.conf"
        counted = "false" if machine.service else "true"
        text = "\n".join(lines) + SETTINGS.format(
            counted=counted, disk=0 if machine.service else 256
        )
        written = path.with_suffix(".next")
        written.write_text(text)
        written.replace(path)
        return path

    async def start(self) -> None:
        settings = self.write_settings()
        self.first = False
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        command = roles[self.role]["run"].split() + self.flags
        log = (self.folder / f"{self.machine.name}-{self.role}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *command,
            stdout=log,
            stderr=log,
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "LANG": os.environ.get("LANG", "C.UTF-8"),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "MARBLEFOLD_NODE_FILE": str(settings),
            },
        )
        log.close()

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def kill(self) -> None:
        process, self.process = self.process, None
        if process is not None:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
            await process.wait()

    async def stop(self, grace: float = GRACE_SECONDS) -> tuple[float, bool]:
        """SIGTERM, then SIGKILL after the grace period; returns the seconds, and if killed."""
        process = self.process
        assert process is not None
        began = time.monotonic()
        process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), grace)
        except TimeoutError:
            await self.kill()
            return time.monotonic() - began, True
        self.process = None
        return time.monotonic() - began, False


class Machine:
    """A machine: its address, zone, and the service of the target on it ("" on core machines)."""

    def __init__(self, name: str, host: str, zone: str, service: str, seeds: list[str]) -> None:
        self.name, self.host, self.zone = name, host, zone
        self.service, self.seeds = service, seeds


class Fleet:
    """Three core machines, and one machine per service and zone, and what `more` names beside."""

    def __init__(
        self,
        folder: Path,
        services: tuple[str, ...],
        zones: tuple[str, ...] = ZONES,
        more: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """`more` names a service and a zone for each further machine."""
        network = find_network()
        seeds = [f"{network}.{11 + number}" for number in range(len(ZONES))]
        self.core = [
            Machine(f"core-{zone}-1", seeds[number], zone, "", seeds)
            for number, zone in enumerate(ZONES)
        ]
        placed = [(service, zone) for service in services for zone in zones]
        self.sides = [
            Machine(
                f"sidecar-{zone}-{number + 1}", f"{network}.{31 + number}", zone, service, seeds
            )
            for number, (service, zone) in enumerate([*placed, *more])
        ]
        self.stores = [Program("store", machine, folder) for machine in self.core]
        self.registries = [Program("registry", machine, folder) for machine in self.core]
        self.proxies = {machine.name: Program("proxy", machine, folder) for machine in self.sides}

    @property
    def programs(self) -> list[Program]:
        return [*self.stores, *self.registries, *self.proxies.values()]

    async def __aenter__(self) -> "Fleet":
        for program in self.programs:
            await program.start()
        return self

    async def __aexit__(self, *_error) -> None:
        for program in self.programs:
            if program.is_running:
                program.signal(signal.SIGCONT)
            await program.kill()
