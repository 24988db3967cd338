"""Which of a machine's inner ports each program listens at."""

from marblefold.node_config.reading import NodeConfig

__all__ = ["REGISTRIES_PER_GATEWAY", "PROXY", "REGISTRY", "STORE", "inner_address"]

# How many registries a gateway follows at once.
REGISTRIES_PER_GATEWAY = 2

PROXY = 0
REGISTRY = 1
STORE = 2


def inner_address(host: str, config: NodeConfig, program: int) -> str:
    """HOST:PORT at which the program on the host listens for peers."""
    return f"{host}:{config.inner_ports[0] + program}"
