"""A registry frozen or cut off, case by case: late orders, cuts, bridges, hung stores.

The machines are those of `simulated_core`: real stores, registries and control calls.
"""

import random
import time

import pytest

from marblefold import wire_names
from marblefold.inner_protocol.messages import kinds
from tests.simulated_machines import OPERATOR, SLICE, World

NAMES = ("a", "b", "c")
# How long operators wait for an answer before they go on.
PATIENCE = 1.0


@pytest.fixture
def world(monkeypatch):
    """Three machines in contact, on a clock of their own."""
    made = []
    monkeypatch.setattr(time, "monotonic", lambda: made[0].now if made else 1000.0)
    random.seed(7)
    made.append(World(NAMES))
    made[0].advance(1.0)
    yield made[0]
    made[0].close()


def send(world, name, method, path="/mesh/evacuations/z", body=b""):
    """A call and its answers with the time they took."""
    answers, sent = [], world.now
    machine = world.machines[name]
    world.send(
        OPERATOR,
        name,
        lambda: machine.call(
            method, path, body, lambda answer: answers.append((answer.status, world.now - sent))
        ),
    )
    return answers


def settle(world):
    """As much as can happen in little time, pauses between tries included."""
    for _ in range(4):
        world.now += SLICE / 5
        world.turn(12)


def held(world):
    """What the feeds of all registries show for the zone."""
    entries = [machine.catalogue.find("evacuation", "z") for machine in world.machines.values()]
    return {entry.value if entry is not None else b"" for entry in entries}


@pytest.mark.parametrize("reads_operators_last", [False, True])
@pytest.mark.parametrize("rounds", range(16))
def test_an_order_frozen_at_any_point_of_its_ballot_does_not_act_after_a_later_one(
    world, rounds, reads_operators_last
):
    # It is taken back in the end, by an order that is acknowledged elsewhere.
    assert send(world, "b", "DELETE") == [] and world.advance(0.1) is None
    late = send(world, "a", "PUT")
    world.turn(rounds)
    world.machines["a"].is_frozen = True
    world.advance(PATIENCE)
    again = send(world, "b", "PUT")
    world.advance(0.5)
    back = send(world, "c", "DELETE")
    world.advance(20.0)
    assert [again[0][0], back[0][0]] == [200, 200]
    world.machines["a"].thaw(reads_operators_last)
    world.advance(3.0)
    assert held(world) == {b"off"}
    assert all(status in (200, 503) for status, _took in late)


@pytest.mark.parametrize("rounds", range(24))
def test_an_abandoned_order_is_fenced_off_by_a_later_one_that_changes_nothing(world, rounds):
    # Nothing was evacuated, so taking it back need not change anything.
    late = send(world, "a", "PUT")
    world.turn(rounds)
    world.machines["a"].is_frozen = True
    world.advance(PATIENCE)
    back = send(world, "b", "DELETE")
    world.advance(0.5)
    assert back[0][0] == 200
    world.machines["a"].thaw()
    world.advance(3.0)
    assert b"on" not in held(world) and all(status in (200, 503) for status, _took in late)


def test_an_order_that_learns_its_number_late_does_not_act(world):
    """A stall too short to be noticed, then stores that are slow to give the number."""
    machine, slow = world.machines["a"], []
    for store in world.machines.values():

        def serve(connection, payload, answered, serve=store.serve):
            is_of_order = connection.owner is machine.client and b"describe" in payload
            act = lambda: serve(connection, payload, answered)  # noqa: E731
            slow.append(act) if is_of_order else act()

        store.serve = serve
    machine.is_frozen = True
    late = send(world, "a", "PUT")
    world.advance(0.2)
    machine.thaw()
    world.advance(PATIENCE - 0.2)
    # It was given up, and is taken back to be sure.
    back = send(world, "c", "DELETE")
    settle(world)
    assert back[0][0] == 200 and slow and not late
    # Only now the number is given, as it holds now.
    slow[0]()
    settle(world)
    world.advance(3.0)
    assert held(world) == {b"off"} and late[0][0] == 503


@pytest.mark.parametrize("phase", range(9))
def test_heartbeats_answered_during_a_freeze_are_no_contact_after_it(world, phase):
    # At one of these moments heartbeats are just under way.
    machine = world.machines["a"]
    world.advance(phase * SLICE)
    world.now += SLICE
    world.turn(1)
    machine.is_frozen = True
    world.advance(SLICE)
    world.cut.update(CUTS["both ways"])
    world.advance(20.0)
    machine.thaw()
    world.advance(SLICE)
    assert not machine.contact.is_held


CUTS = {
    "both ways": [("a", "b"), ("b", "a"), ("a", "c"), ("c", "a")],
    "nothing goes out": [("a", "b"), ("a", "c")],
    "nothing comes in": [("b", "a"), ("c", "a")],
}


@pytest.mark.parametrize("kind", CUTS)
def test_a_registry_cut_off_says_so_and_answers_503_within_a_second(world, kind):
    world.cut.update(CUTS[kind])
    world.advance(2.0)
    assert not world.machines["a"].contact.is_held
    assert world.machines["b"].contact.is_held and world.machines["c"].contact.is_held
    order, read = send(world, "a", "PUT"), send(world, "a", "GET", wire_names.CONFIGURATION_PATH)
    world.advance(1.2)
    for ((status, took),) in (order, read):
        assert status == 503 and took < 1.0
    other = send(world, "b", "PUT")
    world.advance(0.3)
    assert other[0][0] == 200


def test_a_bridge_between_two_that_are_cut_from_each_other_serves_at_all_three(world):
    world.cut.update([("a", "b"), ("b", "a")])
    world.advance(3.0)
    assert all(machine.contact.is_held for machine in world.machines.values())
    for name, method in (("a", "PUT"), ("b", "DELETE"), ("c", "PUT"), ("b", "DELETE")):
        order = send(world, name, method)
        world.advance(0.9)
        assert order[0][0] == 200, name
    assert held(world) == {b"off"}


def test_two_halves_of_four_are_both_out_of_contact(monkeypatch):
    made = []
    monkeypatch.setattr(time, "monotonic", lambda: made[0].now if made else 1000.0)
    made.append(World(("a", "b", "c", "d")))
    world = made[0]
    world.advance(1.0)
    world.cut.update(
        (one, other) for one in "abcd" for other in "abcd" if (one in "ab") != (other in "ab")
    )
    world.advance(2.0)
    assert not any(machine.contact.is_held for machine in world.machines.values())
    orders = [send(world, name, "PUT") for name in "abcd"]
    world.advance(1.2)
    assert all(status == 503 and took < 1.0 for ((status, took),) in orders)
    world.close()


def test_a_hung_store_does_not_eat_the_time_of_an_order(world):
    # Only the store on a hangs: its registry still runs.
    machine = world.machines["a"]
    machine.serve = lambda _connection, _payload, _answered: None
    order = send(world, "a", "PUT")
    world.advance(1.0)
    ((status, took),) = order
    assert status == 200 and took < 0.6
    # Once it is known to be silent it is asked last.
    world.advance(2.0)
    order = send(world, "a", "DELETE")
    world.advance(1.0)
    ((status, took),) = order
    assert status == 200 and took < 0.2


def test_a_thawed_registry_says_first_that_it_may_be_behind(world):
    machine, told = world.machines["a"], []
    follower = type(
        "Follower",
        (),
        {
            "send": lambda _self, _kind, _number, data: told.append(
                kinds.Feed.FromString(data[1:]).in_touch
            )
        },
    )()
    machine.feed.follow(follower, kinds.Follow())
    assert told == [True]
    machine.is_frozen = True
    world.advance(20.0)
    # The first thing that it does after the thaw, before any timer of its own.
    machine.is_frozen = False
    machine.feed.follow(follower, kinds.Follow())
    assert told == [True, False]


def test_what_was_acknowledged_reaches_the_feeds_of_the_others_though_its_proposer_is_cut(world):
    order, machine = send(world, "a", "PUT"), world.machines["a"]
    while "evacuation/z" not in machine.chosen.holdings:
        world.turn(1)
    # The others hold it, but what a told them of its being chosen is lost.
    world.cut.update(CUTS["both ways"])
    world.waiting = [message for message in world.waiting if message.target not in "bc"]
    world.advance(2.0)
    assert order[0][0] == 200 and held(world) == {b"on"}
