"""Cases of a paused or partitioned registry: late commands, partitions, hung stores.

The simulated machines run the real stores, registries and control calls.
"""

import random
import time

import pytest

from marblefold import wire_names
from marblefold.inner_protocol.messages import messages_pb2
from tests.simulated_machines import OPERATOR, TIME_STEP_SECONDS, Cluster

NAMES = ("a", "b", "c")
# How long clients of operators wait for an answer before they retry elsewhere.
OPERATOR_TIMEOUT_SECONDS = 1.0


@pytest.fixture
def cluster(monkeypatch):
    """Three machines with quorum contact, on a simulated clock."""
    clusters = []
    monkeypatch.setattr(time, "monotonic", lambda: clusters[0].now if clusters else 1000.0)
    random.seed(7)
    clusters.append(Cluster(NAMES))
    clusters[0].advance(1.0)
    yield clusters[0]
    clusters[0].close()


def send(cluster, name, method, path="/mesh/evacuations/z", body=b""):
    """Sends a call; returns a list that receives its answer's status and seconds taken."""
    answers, sent = [], cluster.now
    machine = cluster.machines[name]
    cluster.send(
        OPERATOR,
        name,
        lambda: machine.call(
            method, path, body, lambda answer: answers.append((answer.status, cluster.now - sent))
        ),
    )
    return answers


def advance_briefly(cluster):
    """Runs all that can happen in a short time, with pauses between retries."""
    for _ in range(4):
        cluster.now += TIME_STEP_SECONDS / 5
        cluster.run_rounds(12)


def evacuation_states(cluster):
    """Returns the zone's states in the feeds of all registries."""
    entries = [machine.catalogue.find("evacuation", "z") for machine in cluster.machines.values()]
    return {entry.value if entry is not None else b"" for entry in entries}


@pytest.mark.parametrize("reads_operators_last", [False, True])
@pytest.mark.parametrize("rounds", range(16))
def test_command_paused_at_any_point_of_its_ballot_has_no_effect_after_a_later_one(
    cluster, rounds, reads_operators_last
):
    # The evacuation is withdrawn in the end, by a command acknowledged elsewhere.
    assert send(cluster, "b", "DELETE") == [] and cluster.advance(0.1) is None
    late_command = send(cluster, "a", "PUT")
    cluster.run_rounds(rounds)
    cluster.machines["a"].is_paused = True
    cluster.advance(OPERATOR_TIMEOUT_SECONDS)
    retry = send(cluster, "b", "PUT")
    cluster.advance(0.5)
    withdrawal = send(cluster, "c", "DELETE")
    cluster.advance(20.0)
    assert [retry[0][0], withdrawal[0][0]] == [200, 200]
    cluster.machines["a"].resume(reads_operators_last)
    cluster.advance(3.0)
    assert evacuation_states(cluster) == {b"off"}
    assert all(status in (200, 503) for status, _seconds in late_command)


@pytest.mark.parametrize("rounds", range(24))
def test_abandoned_command_is_fenced_off_by_a_later_one_that_changes_nothing(cluster, rounds):
    # Nothing was evacuated, so the withdrawal does not change the value.
    late_command = send(cluster, "a", "PUT")
    cluster.run_rounds(rounds)
    cluster.machines["a"].is_paused = True
    cluster.advance(OPERATOR_TIMEOUT_SECONDS)
    withdrawal = send(cluster, "b", "DELETE")
    cluster.advance(0.5)
    assert withdrawal[0][0] == 200
    cluster.machines["a"].resume()
    cluster.advance(3.0)
    assert b"on" not in evacuation_states(cluster) and all(
        status in (200, 503) for status, _seconds in late_command
    )


def test_command_that_learns_its_number_late_has_no_effect(cluster):
    """A stall too short to be detected, followed by stores that return the number late."""
    machine, delayed_calls = cluster.machines["a"], []
    for store in cluster.machines.values():

        def serve(connection, payload, on_answer, serve=store.serve):
            is_from_command = connection.owner is machine.client and b"describe" in payload
            serve_now = lambda: serve(connection, payload, on_answer)  # noqa: E731
            delayed_calls.append(serve_now) if is_from_command else serve_now()

        store.serve = serve
    machine.is_paused = True
    late_command = send(cluster, "a", "PUT")
    cluster.advance(0.2)
    machine.resume()
    cluster.advance(OPERATOR_TIMEOUT_SECONDS - 0.2)
    # The caller gave up, and withdraws the evacuation to be sure.
    withdrawal = send(cluster, "c", "DELETE")
    advance_briefly(cluster)
    assert withdrawal[0][0] == 200 and delayed_calls and not late_command
    # Only now a store answers, with the current number.
    delayed_calls[0]()
    advance_briefly(cluster)
    cluster.advance(3.0)
    assert evacuation_states(cluster) == {b"off"} and late_command[0][0] == 503


@pytest.mark.parametrize("phase", range(9))
def test_heartbeats_answered_during_a_pause_give_no_contact_after_it(cluster, phase):
    # In one of these phases heartbeats are in flight.
    machine = cluster.machines["a"]
    cluster.advance(phase * TIME_STEP_SECONDS)
    cluster.now += TIME_STEP_SECONDS
    cluster.run_rounds(1)
    machine.is_paused = True
    cluster.advance(TIME_STEP_SECONDS)
    cluster.cut_links.update(CUTS["both ways"])
    cluster.advance(20.0)
    machine.resume()
    cluster.advance(TIME_STEP_SECONDS)
    assert not machine.contact.is_held


CUTS = {
    "both ways": [("a", "b"), ("b", "a"), ("a", "c"), ("c", "a")],
    "nothing goes out": [("a", "b"), ("a", "c")],
    "nothing comes in": [("b", "a"), ("c", "a")],
}


@pytest.mark.parametrize("kind", CUTS)
def test_partitioned_registry_loses_contact_and_answers_503_within_a_second(cluster, kind):
    cluster.cut_links.update(CUTS[kind])
    cluster.advance(2.0)
    assert not cluster.machines["a"].contact.is_held
    assert cluster.machines["b"].contact.is_held and cluster.machines["c"].contact.is_held
    command, read_call = (
        send(cluster, "a", "PUT"),
        send(cluster, "a", "GET", wire_names.CONFIGURATION_PATH),
    )
    cluster.advance(1.2)
    for ((status, seconds),) in (command, read_call):
        assert status == 503 and seconds < 1.0
    other = send(cluster, "b", "PUT")
    cluster.advance(0.3)
    assert other[0][0] == 200


def test_commands_succeed_at_all_three_when_only_one_link_is_cut(cluster):
    cluster.cut_links.update([("a", "b"), ("b", "a")])
    cluster.advance(3.0)
    assert all(machine.contact.is_held for machine in cluster.machines.values())
    for name, method in (("a", "PUT"), ("b", "DELETE"), ("c", "PUT"), ("b", "DELETE")):
        command = send(cluster, name, method)
        cluster.advance(0.9)
        assert command[0][0] == 200, name
    assert evacuation_states(cluster) == {b"off"}


def test_both_halves_of_four_are_without_contact(monkeypatch):
    clusters = []
    monkeypatch.setattr(time, "monotonic", lambda: clusters[0].now if clusters else 1000.0)
    clusters.append(Cluster(("a", "b", "c", "d")))
    cluster = clusters[0]
    cluster.advance(1.0)
    cluster.cut_links.update(
        (one, other) for one in "abcd" for other in "abcd" if (one in "ab") != (other in "ab")
    )
    cluster.advance(2.0)
    assert not any(machine.contact.is_held for machine in cluster.machines.values())
    commands = [send(cluster, name, "PUT") for name in "abcd"]
    cluster.advance(1.2)
    assert all(status == 503 and seconds < 1.0 for ((status, seconds),) in commands)
    cluster.close()


def test_hung_store_does_not_delay_a_command_beyond_its_timeout(cluster):
    # Only the store on a hangs; its registry still runs.
    machine = cluster.machines["a"]
    machine.serve = lambda _connection, _payload, _on_answer: None
    command = send(cluster, "a", "PUT")
    cluster.advance(1.0)
    ((status, seconds),) = command
    assert status == 200 and seconds < 0.6
    # Once the store is known to be silent, it is called last.
    cluster.advance(2.0)
    command = send(cluster, "a", "DELETE")
    cluster.advance(1.0)
    ((status, seconds),) = command
    assert status == 200 and seconds < 0.2


def test_resumed_registry_first_reports_that_it_has_no_contact(cluster):
    machine, contact_flags = cluster.machines["a"], []
    follower = type(
        "Follower",
        (),
        {
            "send": lambda _self, _kind, _number, data: contact_flags.append(
                messages_pb2.Feed.FromString(data[1:]).in_touch
            )
        },
    )()
    machine.feed.follow(follower, messages_pb2.Follow())
    assert contact_flags == [True]
    machine.is_paused = True
    cluster.advance(20.0)
    # The first action after it resumes, before any of its timers fires.
    machine.is_paused = False
    machine.feed.follow(follower, messages_pb2.Follow())
    assert contact_flags == [True, False]


def test_acknowledged_command_reaches_the_feeds_of_the_others_when_its_proposer_is_partitioned(
    cluster,
):
    command, machine = send(cluster, "a", "PUT"), cluster.machines["a"]
    while "evacuation/z" not in machine.chosen.states:
        cluster.run_rounds(1)
    # The others accepted it, but machine a's messages that it is chosen are lost.
    cluster.cut_links.update(CUTS["both ways"])
    cluster.in_flight = [message for message in cluster.in_flight if message.target not in "bc"]
    cluster.advance(2.0)
    assert command[0][0] == 200 and evacuation_states(cluster) == {b"on"}
