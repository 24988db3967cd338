"""Members lost, replaced and stopped at the worst moments of a member change."""

import asyncio
import contextlib
import itertools

import pytest

from marblefold.errors import MeshError
from marblefold.register_store.acceptor import VotingStatus
from marblefold.register_store.changes import leave_unchanged, set_configuration
from marblefold.register_store.peer_call_kinds import CallKind
from tests.core_faults import ANSWER_BOUND_SECONDS, CATCH_UP_SECONDS, VOTE_BOUND_SECONDS
from tests.simulated_core import Core

REGISTER = "configuration"


def make_core(losses, first=None):
    return Core(1, losses, first or 2 * losses + 1)


def start_new_machine(core, address):
    """Starts a new machine whose configuration names the present members."""
    machine = core.add(address)
    machine.seeds = [peer for peer in core.view().members if core.machines[peer].is_up]
    machine.start()
    return machine


async def wait_until(core, condition, seconds):
    """Waits for the condition; returns whether it held within the simulated seconds."""
    end = core.loop.time() + seconds
    while core.loop.time() < end:
        if condition():
            return True
        await asyncio.sleep(0.05)
    return condition()


def all_vote(core):
    return set(core.voters()) == set(core.view().members)


def test_a_newcomer_lost_before_it_has_read_is_replaced_in_turn():
    core = make_core(1)

    async def run_scenario():
        core.is_blocked = lambda sender, _peer, kind: sender == "n:1" and kind == CallKind.READ
        start_new_machine(core, "n:1")
        core.machines["m2:1"].wipe()
        assert await wait_until(core, lambda: "n:1" in core.view().members, VOTE_BOUND_SECONDS)
        core.machines["n:1"].wipe()
        start_new_machine(core, "o:1")
        assert await wait_until(
            core, lambda: "o:1" in core.view().members and all_vote(core), VOTE_BOUND_SECONDS
        )
        state = await core.machines["m0:1"].change(REGISTER, set_configuration(1, b"one"))
        assert state.value == b"one"

    core.run(run_scenario())


def test_no_second_change_starts_before_the_newcomer_of_the_first_votes():
    core = make_core(2)

    async def run_scenario():
        assert await wait_until(core, lambda: len(core.view().members) == 5, VOTE_BOUND_SECONDS)
        assert await wait_until(core, lambda: all_vote(core), VOTE_BOUND_SECONDS)
        core.is_blocked = lambda sender, _peer, kind: (
            sender in ("n:1", "o:1") and kind == CallKind.READ
        )
        number = core.view().number
        for removed, newcomer in (("m3:1", "n:1"), ("m4:1", "o:1")):
            core.machines[removed].wipe()
            start_new_machine(core, newcomer)
        await wait_until(core, lambda: core.view().number > number + 1, 10.0)
        assert core.view().number == number + 1, "a change started before the last one was finished"
        core.is_blocked = lambda _sender, _peer, _kind: False
        assert await wait_until(
            core,
            lambda: core.view().number == number + 2 and all_vote(core),
            2 * VOTE_BOUND_SECONDS,
        )

    core.run(run_scenario())


def test_a_record_held_only_by_the_leaver_and_a_lost_member_is_kept():
    """The leaver hands over its place, and the other holder loses its disk before it is read."""
    core = make_core(1)

    async def run_scenario():
        await asyncio.sleep(1.0)
        core.is_blocked = lambda sender, peer, kind: (
            kind == CallKind.COMPARE
            or (sender == "n:1" and kind == CallKind.READ)
            or (kind == CallKind.ACCEPT and peer == "m2:1")
        )
        await core.machines["m0:1"].proposer.change(REGISTER, set_configuration(1, b"one"), 1.0)
        assert not core.machines["m2:1"].acceptor.accepted_states[REGISTER].value
        core.is_blocked = lambda sender, peer, kind: (
            kind == CallKind.COMPARE
            or (sender == "n:1" and kind == CallKind.READ)
            or (kind in (CallKind.PREPARE, CallKind.ACCEPT) and peer == "m2:1" and sender == "m0:1")
        )
        start_new_machine(core, "n:1")
        await asyncio.sleep(1.0)
        leaving = core.loop.create_task(core.machines["m0:1"].leave())
        assert await wait_until(core, lambda: "m0:1" not in core.view().members, 3.0)
        core.machines["m1:1"].wipe()
        core.is_blocked = lambda _sender, _peer, _kind: False
        await leaving
        state = await core.machines["m2:1"].change(REGISTER, leave_unchanged, ANSWER_BOUND_SECONDS)
        assert state.value == b"one", "an acknowledged record was lost with a member"

    core.run(run_scenario())


@pytest.mark.parametrize("losses", [1, 2])
def test_a_leaver_hands_its_place_over_before_it_ends(losses):
    core = make_core(losses)

    async def run_scenario():
        await wait_until(
            core, lambda: len(core.view().members) == 2 * losses + 1, VOTE_BOUND_SECONDS
        )
        await wait_until(core, lambda: all_vote(core), VOTE_BOUND_SECONDS)
        start_new_machine(core, "n:1")
        await asyncio.sleep(1.0)
        started_at = core.loop.time()
        await core.machines["m1:1"].leave()
        assert core.loop.time() - started_at < ANSWER_BOUND_SECONDS
        assert "n:1" in core.view().members and all_vote(core)
        assert "m1:1" not in core.view().members

    core.run(run_scenario())


def test_a_restart_in_place_is_immediate_and_changes_no_view():
    core = make_core(1)

    async def run_scenario():
        await asyncio.sleep(1.0)
        started_at = core.loop.time()
        await core.machines["m1:1"].replica.hand_over(4.0)
        assert core.loop.time() == started_at
        core.machines["m1:1"].stop()
        core.machines["m1:1"].start()
        assert core.view().number == 1 and all_vote(core)

    core.run(run_scenario())


def test_a_replaced_member_never_votes_when_it_is_back():
    core = make_core(1)

    async def run_scenario():
        start_new_machine(core, "n:1")
        core.machines["m2:1"].stop()
        assert await wait_until(
            core, lambda: "n:1" in core.view().members and all_vote(core), VOTE_BOUND_SECONDS
        )
        back = core.machines["m2:1"]
        back.start()
        assert back.acceptor.voting_status is VotingStatus.VOTING and back.acceptor.view.number == 1
        # It finds no majority in its old view, and learns the new view from any other call.
        assert await wait_until(
            core, lambda: back.acceptor.voting_status is VotingStatus.READING, ANSWER_BOUND_SECONDS
        )
        await asyncio.sleep(VOTE_BOUND_SECONDS)
        assert back.acceptor.voting_status is VotingStatus.READING
        assert "m2:1" not in core.view().members

    core.run(run_scenario())


def test_a_store_whose_whole_view_was_replaced_meanwhile_finds_the_core_by_its_seeds():
    core = make_core(1)

    async def run_scenario():
        away = core.machines["m2:1"]
        await core.machines["m0:1"].change(REGISTER, set_configuration(1, b"one"))
        await asyncio.sleep(1.0)
        away.stop()
        for removed, newcomer in (("", "n:1"), ("m0:1", "o:1"), ("m1:1", "p:1")):
            start_new_machine(core, newcomer)
            if removed:
                core.machines[removed].wipe()
            assert await wait_until(
                core, lambda name=newcomer: name in core.view().members and all_vote(core), 8.0
            )
        away.seeds = ["n:1", "o:1", "p:1"]
        away.start()
        found = await wait_until(
            core, lambda: away.acceptor.view == core.view(), ANSWER_BOUND_SECONDS
        )
        assert found, (away.acceptor.view, core.view(), away.tasks)
        assert away.acceptor.voting_status is VotingStatus.READING

    core.run(run_scenario())


@pytest.mark.parametrize("seed", range(4))
def test_a_store_without_its_disk_votes_before_a_silent_member_has_timed_out(seed):
    """A call to a store that is down takes a second; the three others are enough to read from."""
    core = Core(seed, 2, 5)

    async def run_scenario():
        await asyncio.sleep(CATCH_UP_SECONDS)
        silent, wiped = core.random.sample(sorted(core.view().members), 2)
        core.cut(silent)
        core.machines[wiped].wipe()
        core.machines[wiped].start()
        assert await wait_until(core, lambda: wiped in core.voters(), 0.9)

    core.run(run_scenario())


@pytest.mark.parametrize("seed", range(8))
def test_lost_members_are_replaced_while_operators_change_a_register_all_the_time(seed):
    """With a quorum left and slow links, a read may find no moment at which all agree."""
    core = Core(seed, 2, 5)
    acknowledged = []

    async def change_all_the_time(machine):
        for number in itertools.count(1):
            with contextlib.suppress(MeshError):
                await machine.change(REGISTER, set_configuration(10 * number, b"x"))
                acknowledged.append(number)
            await asyncio.sleep(core.random.uniform(0.0, 0.02))

    async def run_scenario():
        await asyncio.sleep(CATCH_UP_SECONDS)
        core.slow_share = 0.2
        lost = core.random.sample(sorted(core.view().members), 2)
        rest = [machine for name, machine in core.machines.items() if name not in lost]
        for address in lost:
            core.machines[address].wipe()
        changes = [core.loop.create_task(change_all_the_time(machine)) for machine in rest]
        for name in ("n:1", "o:1"):
            start_new_machine(core, name)
        is_whole = await wait_until(
            core,
            lambda: not set(lost) & set(core.view().members) and all_vote(core),
            CATCH_UP_SECONDS,
        )
        for task in changes:
            task.cancel()
        assert is_whole and acknowledged

    core.run(run_scenario())
