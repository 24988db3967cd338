"""Sets up tracing in a program if its flags enable it."""

from marblefold.background_tasks import BackgroundTasks
from marblefold.inner_protocol.peer_connection_pool import PeerConnectionPool
from marblefold.node_config.model import NodeConfig
from marblefold.program_flags import read_trace_options
from marblefold.proxy.registry_follower import RegistryFollower
from marblefold.request_path.mesh_view import MeshView

__all__ = ["start_tracing"]


def start_tracing(
    config: NodeConfig,
    address: str,
    view: MeshView,
    follower: RegistryFollower,
    tasks: BackgroundTasks,
    peers: PeerConnectionPool | None = None,
):
    """Returns the NodeTracing, or None without --trace, which imports no other tracing module."""
    options = read_trace_options()
    if options is None:
        return None
    from marblefold.tracing.node_tracing import NodeTracing

    return NodeTracing(options, config, address, view, follower, tasks, peers)
