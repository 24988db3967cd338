"""Node config files and the mesh configuration of a scale run."""

from typing import NamedTuple

__all__ = ["Layout", "make_config", "make_configuration"]

ZONES = ("r1-a", "r1-b", "r1-c", "r2-a", "r2-b")
_CONFIG_LIMITS = """
bounds.contact-window-ms=4000
bounds.ack-timeout-ms=4000
bounds.catch-up-s=6
bounds.drain-timeout-ms=2500
bounds.grace-period-s=10
bounds.loss-slack-ms=200
bounds.config-apply-ms=2500
bounds.retry-budget-ratio=0.2
bounds.retry-window-s=10
bounds.retry-budget-slack=430
bounds.cold-overage=1.5
bounds.cold-slack=10
bounds.evacuation-ms=5000
limits.memory-mb=200
limits.max-file-descriptors=4100
heartbeat-interval-ms=500
fault-tolerance.machine-losses={losses}
"""


class Layout(NamedTuple):
    """The number of nodes and services of one run, and its loopback addresses."""

    nodes: int
    core: int
    services: int
    first_port: int

    def core_host(self, number: int) -> str:
        """The address of a core machine, which runs a store and a registry."""
        return f"127.2.0.{number + 1}"

    def node_host(self, number: int) -> str:
        """The address of a node beside a target."""
        return f"127.3.{number // 250}.{number % 250 + 1}"

    def service(self, number: int) -> str:
        """The service that a node's target belongs to."""
        return f"service-{number % self.services}"


def make_config(
    layout: Layout,
    host: str,
    name: str,
    number: int,
    folder: str = "",
    is_first: bool = True,
) -> str:
    """The text of the config file of one process.

    A process with a data `folder` is a store or registry, one without is a proxy.
    """
    seeds = ",".join(
        f"{layout.core_host(core)}:{layout.first_port}" for core in range(min(3, layout.core))
    )
    lines = [
        f"node-name={name}",
        f"zone={ZONES[number % len(ZONES)]}",
        f"region={ZONES[number % len(ZONES)][:2]}",
        *(f"zones.{zone}={zone[:2]}" for zone in ZONES),
        f"ip-address={host}",
        f"seed-nodes={seeds}",
        f"initial-start={str(is_first).lower()}",
        f"internal-port-range={layout.first_port + 1},{layout.first_port + 8}",
        f"listen-addresses.control-plane={host}:{layout.first_port}",
        f"listen-addresses.outbound={host}:{layout.first_port + 10}",
        f"listen-addresses.readiness={host}:{layout.first_port + 11}",
    ]
    if folder:
        lines.append(f"data-directory={folder}")
    else:
        lines.append(f"upstream={layout.service(number)}")
        lines.append(f"app-address={host}:{layout.first_port + 12}")
    machine_losses = max(1, (layout.core - 1) // 2)
    return "\n".join(lines) + _CONFIG_LIMITS.format(losses=machine_losses)


def make_configuration(layout: Layout, number: int, routes: int) -> dict:
    """A configuration with `routes` routes, spread evenly over the services."""
    return {
        "config-version": number,
        "route-list": [
            {
                "name": f"route-{index}",
                "host-name": f"host{index % 40}.example",
                "path-prefix": f"/p{index}/",
                "route-type": ("read_only", "mutating")[index % 2],
                "timeout-ms": 4000,
                "target-latency-ms": 800 + number % 7,
                "max-attempts": 2,
                "priority": index % 3,
                "upstream": layout.service(index),
            }
            for index in range(routes)
        ],
        "service-list": [
            {"name": layout.service(index), "health-check-path": "/health", "max-connections": 1200}
            for index in range(layout.services)
        ],
        "limits": {},
    }
