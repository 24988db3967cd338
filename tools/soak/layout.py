"""The machines of a soak test: addresses, config files and the configuration they serve."""

import os
from pathlib import Path
from typing import NamedTuple

__all__ = [
    "COLD_START_SECONDS",
    "HEARTBEAT_INTERVAL_SECONDS",
    "MAX_COLD_REQUESTS_PER_SECOND",
    "SERVICES",
    "ZONES",
    "Machine",
    "make_configuration",
    "make_core_machines",
    "make_machines",
    "write_config",
]

ZONES = ("hall-a", "hall-b", "hall-c")
SERVICES = ("quotes", "orders")
COLD_START_SECONDS = 3.0
HEARTBEAT_INTERVAL_SECONDS = 1.5
_COLD_START_REQUESTS_PER_SECOND = 6.0
# Follows from the bounds below: 1.5 times the cold start rate, plus a slack of 5.
MAX_COLD_REQUESTS_PER_SECOND = 14
_FIRST_PORT = 29000
_BOUNDS_CONFIG = """
bounds.contact-window-ms=3000
bounds.ack-timeout-ms=4000
bounds.catch-up-s=4
bounds.drain-timeout-ms=2000
bounds.grace-period-s=6
bounds.loss-slack-ms=200
bounds.config-apply-ms=2000
bounds.retry-budget-ratio=0.2
bounds.retry-window-s=10
bounds.retry-budget-slack=60
bounds.cold-overage=1.5
bounds.cold-slack=5
bounds.evacuation-ms=5000
limits.memory-mb=300
limits.max-file-descriptors=4000
limits.link-mbps=8
heartbeat-interval-ms=1500
"""


class Machine(NamedTuple):
    """A machine of the soak test; `service` is empty for a core machine."""

    name: str
    host: str
    zone: str
    service: str

    @property
    def control_port(self) -> int:
        """The port for requests of targets and operators."""
        return _FIRST_PORT

    @property
    def outbound_port(self) -> int:
        """The port for requests of clients."""
        return _FIRST_PORT + 1

    @property
    def application_port(self) -> int:
        """The port on which the target listens."""
        return _FIRST_PORT + 2


def _find_network() -> str:
    """The first three numbers of the addresses; by process id, so that two soak tests can run."""
    return f"127.{192 + os.getpid() // 250 % 60}.{1 + os.getpid() % 250}"


def make_core_machines(count: int) -> list[Machine]:
    """Returns core machines, spread over the zones."""
    network = _find_network()
    return [
        Machine(f"core-{number}", f"{network}.{10 + number}", ZONES[number % len(ZONES)], "")
        for number in range(count)
    ]


def make_machines() -> tuple[list[Machine], list[Machine]]:
    """Returns the core machines and the machines with a target, one per service and zone."""
    network = _find_network()
    core = make_core_machines(len(ZONES))
    target_machines = [
        Machine(f"side-{service}-{zone}", f"{network}.{20 + 10 * kind + number}", zone, service)
        for kind, service in enumerate(SERVICES)
        for number, zone in enumerate(ZONES)
    ]
    return core, target_machines


def write_config(
    path: Path,
    machine: Machine,
    seed_machines: list[Machine],
    data_directory: str,
    is_first: bool,
    machine_losses: int = 1,
) -> None:
    """Writes the config file of one program; `data_directory` is empty for a proxy."""
    seeds = ",".join(f"{seed.host}:{seed.control_port}" for seed in seed_machines)
    lines = [
        f"node-name={machine.name}",
        f"zone={machine.zone}",
        "region=here",
        *(f"zones.{zone}=here" for zone in ZONES),
        f"ip-address={machine.host}",
        f"internal-port-range={_FIRST_PORT + 4},{_FIRST_PORT + 12}",
        f"seed-nodes={seeds}",
        f"initial-start={str(is_first).lower()}",
        f"fault-tolerance.machine-losses={machine_losses}",
        f"listen-addresses.control-plane={machine.host}:{machine.control_port}",
    ]
    if data_directory:
        lines.append(f"data-directory={data_directory}")
    if machine.service:
        lines += [
            f"listen-addresses.outbound={machine.host}:{machine.outbound_port}",
            f"listen-addresses.readiness={machine.host}:{_FIRST_PORT + 3}",
            f"app-address={machine.host}:{machine.application_port}",
            f"upstream={machine.service}",
        ]
    path.write_text("\n".join(lines) + _BOUNDS_CONFIG)


def make_configuration(version: int) -> dict:
    """Returns a configuration with a read-only and a mutating route for each service."""
    return {
        "config-version": version,
        "route-list": [
            {
                "name": f"{kind}-{service}",
                "host-name": "shop",
                "path-prefix": f"/{kind}/{service}/",
                "route-type": kind,
                "timeout-ms": 1500,
                "target-latency-ms": 300 + version % 7,
                "max-attempts": 2,
                "upstream": service,
            }
            for service in SERVICES
            for kind in ("read_only", "mutating")
        ],
        "service-list": [
            {
                "name": service,
                "health-check-path": "/health",
                "max-connections": 100,
                "cold-start-s": COLD_START_SECONDS,
                "coldstart-per-s": _COLD_START_REQUESTS_PER_SECOND,
            }
            for service in SERVICES
        ],
        "limits": {},
    }
