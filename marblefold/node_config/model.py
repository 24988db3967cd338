"""The settings of a node, both its own and those of the deployment."""

from datetime import timedelta
from typing import NamedTuple

__all__ = ["Address", "Bounds", "Cloud", "Limits", "NodeConfig"]


class Address(NamedTuple):
    """An IPv4 host and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parses HOST:PORT; raises ValueError for anything else."""
        host, separator, port = text.rpartition(":")
        if not separator or not host or not 0 < int(port) < 65536:
            raise ValueError(f"not an address: {text!r}")
        return cls(host, int(port))


class Bounds(NamedTuple):
    """The bounds that the rules of the deployment set (config fields under `bounds.`)."""

    contact_window: timedelta
    acknowledgement_time: timedelta
    catch_up: timedelta
    drain_time: timedelta
    grace_period: timedelta
    loss_slack: timedelta
    configuration_apply: timedelta
    retry_ratio: float
    retry_window: timedelta
    retry_slack: float
    cold_overage: float
    cold_slack: float
    evacuation: timedelta
    recovery: timedelta


_BYTES_PER_MEGABIT = 125_000


class Limits(NamedTuple):
    """Resource limits of this process."""

    memory_mb: float
    file_descriptors: int
    link_mbps: float = 1000.0

    @property
    def link_bytes_per_second(self) -> float:
        """What the link of this machine carries, in bytes a second."""
        return self.link_mbps * _BYTES_PER_MEGABIT


class Cloud(NamedTuple):
    """The platform API that lists the targets, in deployments that have one."""

    address: Address
    rate_per_second: float


class NodeConfig(NamedTuple):
    """All settings of a process on the node."""

    node_name: str
    zone: str
    region: str
    zone_regions: dict
    host: str
    listen: dict
    inner_ports: tuple[int, int]
    seeds: tuple[Address, ...]
    is_first_start: bool
    is_loss_counted: bool
    heartbeat_interval: timedelta
    bounds: Bounds
    limits: Limits
    data_directory: str
    app_address: Address | None
    upstream: str
    cloud: Cloud | None = None
    # How many machines with `is_loss_counted` may be lost at the same time.
    machine_losses: int = 1
    # The site of this node, and the internal address of the registry that claims services
    # for the site.
    site: str = ""
    site_agent: str = ""
    # Key for the digests of orders in traces.
    trace_key: str = ""
