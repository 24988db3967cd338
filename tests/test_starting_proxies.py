"""A proxy that starts while a registry is out of contact."""

from marblefold.inner_protocol.messages import kinds
from marblefold.proxy.registry_follower import RegistryFollower
from marblefold.proxy.startup_entry_hold import HOLD_TIMEOUT_SECONDS
from marblefold.request_path.mesh_view import MeshView
from tests import test_cut_off_cases as cases
from tests.simulated_machines import SLICE
from tests.test_cut_off_cases import CUTS, send

world = cases.world


class Wire:
    """What a proxy hears of one registry."""

    def __init__(self, follower, peer):
        self.follower, self.peer = follower, peer

    def send(self, _kind, _number, payload):
        self.follower.on_tell(self, payload)


def start_proxy():
    view = MeshView("n")
    return view, RegistryFollower("n", list, view)


def test_a_proxy_that_starts_takes_no_older_state_from_a_registry_out_of_contact(world):
    order = send(world, "a", "PUT")
    world.advance(0.3)
    world.cut.update(CUTS["both ways"])
    back = send(world, "b", "DELETE")
    world.advance(2.0)
    assert [order[0][0], back[0][0]] == [200, 200]
    view, follower = start_proxy()
    world.machines["a"].feed.follow(Wire(follower, "a"), kinds.Follow())
    assert view.evacuated == set()
    world.machines["b"].feed.follow(Wire(follower, "b"), kinds.Follow())
    assert (
        view.evacuated == set()
        and view.is_news(kinds.Entry(kind="evacuation", key="z", number=2)) is False
    )


def test_a_proxy_that_is_cut_off_itself_serves_in_the_end_by_what_there_is(world):
    order = send(world, "a", "PUT")
    world.advance(0.3)
    assert order[0][0] == 200
    world.cut.update(CUTS["both ways"])
    world.advance(2.0)
    view, follower = start_proxy()
    wire = Wire(follower, "a")
    world.machines["a"].feed.follow(wire, kinds.Follow())
    world.advance(HOLD_TIMEOUT_SECONDS - SLICE)
    follower.release_held_entries(world.now)
    assert view.evacuated == set()
    world.advance(2 * SLICE)
    follower.release_held_entries(world.now)
    assert view.evacuated == {"z"}
