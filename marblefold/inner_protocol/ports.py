"""Assigns the ports of a machine's internal range to the programs."""

from marblefold.node_config.reading import NodeConfig

__all__ = ["REGISTRIES_PER_GATEWAY", "PROXY", "REGISTRY", "STORE", "inner_address"]

# Maximum number of registries that a gateway follows at the same time.
REGISTRIES_PER_GATEWAY = 2

# Offsets from the first port of the internal range.
PROXY = 0
REGISTRY = 1
STORE = 2


def inner_address(host: str, config: NodeConfig, program: int) -> str:
    """Returns the HOST:PORT at which the program on the host listens for peers."""
    return f"{host}:{config.inner_ports[0] + program}"
