"""The settings of a node: about itself and about the deployment."""

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
        """Reads HOST:PORT. Raises ValueError on anything else."""
        host, separator, port = text.rpartition(":")
        if not separator or not host or not 0 < int(port) < 65536:
            raise ValueError(f"not an address: {text!r}")
        return cls(host, int(port))


class Bounds(NamedTuple):
    """The bounds of the rules in force."""

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


class Limits(NamedTuple):
    """The limits of this process."""

    memory_mb: float
    file_descriptors: int
    link_mbps: float = 1000.0


class Cloud(NamedTuple):
    """The platform API that lists the targets, where there is one."""

    address: Address
    rate_per_second: float


class NodeConfig(NamedTuple):
    """All settings of a process."""

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
    # How many counted machines may be lost at the same time.
    machine_losses: int = 1
    # The site of this node, and the inner address of the registry that claims services for it.
    site: str = ""
    site_agent: str = ""
    # Key of the digests of orders in traces.
    trace_key: str = ""
