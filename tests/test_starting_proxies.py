"""A proxy that starts while a registry has no quorum contact."""

from marblefold.inner_protocol.messages import messages_pb2
from marblefold.proxy.registry_follower import RegistryFollower
from marblefold.proxy.startup_entry_hold import HOLD_TIMEOUT_SECONDS
from marblefold.request_path.mesh_view import MeshView
from tests import test_cut_off_cases as cases
from tests.simulated_machines import TIME_STEP_SECONDS
from tests.test_cut_off_cases import CUTS, send

cluster = cases.cluster


class Connection:
    """A connection that delivers what one registry sends to a proxy."""

    def __init__(self, follower, peer):
        self.follower, self.peer = follower, peer

    def send(self, _kind, _number, payload):
        self.follower.on_notification(self, payload)


def start_proxy():
    view = MeshView("n")
    return view, RegistryFollower("n", list, view)


def test_starting_proxy_accepts_no_outdated_state_from_a_registry_without_contact(cluster):
    command = send(cluster, "a", "PUT")
    cluster.advance(0.3)
    cluster.cut_links.update(CUTS["both ways"])
    withdrawal = send(cluster, "b", "DELETE")
    cluster.advance(2.0)
    assert [command[0][0], withdrawal[0][0]] == [200, 200]
    view, follower = start_proxy()
    cluster.machines["a"].feed.follow(Connection(follower, "a"), messages_pb2.Follow())
    assert view.evacuated == set()
    cluster.machines["b"].feed.follow(Connection(follower, "b"), messages_pb2.Follow())
    assert (
        view.evacuated == set()
        and view.is_newer(messages_pb2.Entry(kind="evacuation", key="z", number=2)) is False
    )


def test_partitioned_proxy_uses_the_only_available_state_after_a_timeout(cluster):
    command = send(cluster, "a", "PUT")
    cluster.advance(0.3)
    assert command[0][0] == 200
    cluster.cut_links.update(CUTS["both ways"])
    cluster.advance(2.0)
    view, follower = start_proxy()
    connection = Connection(follower, "a")
    cluster.machines["a"].feed.follow(connection, messages_pb2.Follow())
    cluster.advance(HOLD_TIMEOUT_SECONDS - TIME_STEP_SECONDS)
    follower.release_held_entries(cluster.now)
    assert view.evacuated == set()
    cluster.advance(2 * TIME_STEP_SECONDS)
    follower.release_held_entries(cluster.now)
    assert view.evacuated == {"z"}
