"""Members lost, replaced and ended at the worst points of a change of members."""

import asyncio

import pytest

from marblefold.register_store.acceptor import Standing
from marblefold.register_store.changes import hold_configuration, keep
from marblefold.register_store.peer_call_kinds import CallKind
from tests.core_faults import ANSWER_BOUND, VOTE_BOUND
from tests.simulated_core import Core

REGISTER = "configuration"


def make_core(losses, first=None):
    return Core(1, losses, first or 2 * losses + 1)


def add_newcomer(core, address):
    """A new machine; its file names members as they are now."""
    machine = core.add(address)
    machine.seeds = [peer for peer in core.view().members if core.machines[peer].is_up]
    machine.start()
    return machine


async def wait_until(core, condition, seconds):
    """Whether it comes true within the simulated seconds."""
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

    async def play():
        core.is_blocked = lambda sender, _peer, kind: sender == "n:1" and kind == CallKind.READ
        add_newcomer(core, "n:1")
        core.machines["m2:1"].wipe()
        assert await wait_until(core, lambda: "n:1" in core.view().members, VOTE_BOUND)
        core.machines["n:1"].wipe()
        add_newcomer(core, "o:1")
        assert await wait_until(
            core, lambda: "o:1" in core.view().members and all_vote(core), VOTE_BOUND
        )
        holding = await core.machines["m0:1"].change(REGISTER, hold_configuration(1, b"one"))
        assert holding.value == b"one"

    core.run(play())


def test_no_second_change_starts_before_the_newcomer_of_the_first_votes():
    core = make_core(2)

    async def play():
        assert await wait_until(core, lambda: len(core.view().members) == 5, VOTE_BOUND)
        assert await wait_until(core, lambda: all_vote(core), VOTE_BOUND)
        core.is_blocked = lambda sender, _peer, kind: (
            sender in ("n:1", "o:1") and kind == CallKind.READ
        )
        number = core.view().number
        for gone, newcomer in (("m3:1", "n:1"), ("m4:1", "o:1")):
            core.machines[gone].wipe()
            add_newcomer(core, newcomer)
        await wait_until(core, lambda: core.view().number > number + 1, 10.0)
        assert core.view().number == number + 1, "a change began before the last was finished"
        core.is_blocked = lambda _sender, _peer, _kind: False
        assert await wait_until(
            core, lambda: core.view().number == number + 2 and all_vote(core), 2 * VOTE_BOUND
        )

    core.run(play())


def test_what_only_the_leaver_and_a_member_that_dies_hold_is_kept():
    """The leaver's place is given away, and the other holder is gone before it is read."""
    core = make_core(1)

    async def play():
        await asyncio.sleep(1.0)
        core.is_blocked = lambda sender, peer, kind: (
            kind == CallKind.COMPARE
            or (sender == "n:1" and kind == CallKind.READ)
            or (kind == CallKind.ACCEPT and peer == "m2:1")
        )
        await core.machines["m0:1"].proposer.change(REGISTER, hold_configuration(1, b"one"), 1.0)
        assert not core.machines["m2:1"].acceptor.accepted_states[REGISTER].value
        core.is_blocked = lambda sender, peer, kind: (
            kind == CallKind.COMPARE
            or (sender == "n:1" and kind == CallKind.READ)
            or (kind in (CallKind.PREPARE, CallKind.ACCEPT) and peer == "m2:1" and sender == "m0:1")
        )
        add_newcomer(core, "n:1")
        await asyncio.sleep(1.0)
        leaving = core.loop.create_task(core.machines["m0:1"].leave())
        assert await wait_until(core, lambda: "m0:1" not in core.view().members, 3.0)
        core.machines["m1:1"].wipe()
        core.is_blocked = lambda _sender, _peer, _kind: False
        await leaving
        holding = await core.machines["m2:1"].change(REGISTER, keep, ANSWER_BOUND)
        assert holding.value == b"one", "an acknowledged record left with a member"

    core.run(play())


@pytest.mark.parametrize("losses", [1, 2])
def test_a_leaver_hands_its_place_over_before_it_ends(losses):
    core = make_core(losses)

    async def play():
        await wait_until(core, lambda: len(core.view().members) == 2 * losses + 1, VOTE_BOUND)
        await wait_until(core, lambda: all_vote(core), VOTE_BOUND)
        add_newcomer(core, "n:1")
        await asyncio.sleep(1.0)
        began = core.loop.time()
        await core.machines["m1:1"].leave()
        assert core.loop.time() - began < ANSWER_BOUND
        assert "n:1" in core.view().members and all_vote(core)
        assert "m1:1" not in core.view().members

    core.run(play())


def test_a_restart_in_place_takes_no_time_and_changes_no_view():
    core = make_core(1)

    async def play():
        await asyncio.sleep(1.0)
        began = core.loop.time()
        await core.machines["m1:1"].replica.hand_over(4.0)
        assert core.loop.time() == began
        core.machines["m1:1"].stop()
        core.machines["m1:1"].start()
        assert core.view().number == 1 and all_vote(core)

    core.run(play())


def test_a_member_that_was_swapped_out_never_votes_when_it_is_back():
    core = make_core(1)

    async def play():
        add_newcomer(core, "n:1")
        core.machines["m2:1"].stop()
        assert await wait_until(
            core, lambda: "n:1" in core.view().members and all_vote(core), VOTE_BOUND
        )
        back = core.machines["m2:1"]
        back.start()
        assert back.acceptor.voting_status is Standing.VOTING and back.acceptor.view.number == 1
        # In its own old view it finds no majority; a call of any other tells it.
        assert await wait_until(
            core, lambda: back.acceptor.voting_status is Standing.READING, ANSWER_BOUND
        )
        await asyncio.sleep(VOTE_BOUND)
        assert back.acceptor.voting_status is Standing.READING
        assert "m2:1" not in core.view().members

    core.run(play())


def test_a_store_whose_whole_view_was_replaced_meanwhile_finds_the_core_by_its_seeds():
    core = make_core(1)

    async def play():
        away = core.machines["m2:1"]
        await core.machines["m0:1"].change(REGISTER, hold_configuration(1, b"one"))
        await asyncio.sleep(1.0)
        away.stop()
        for gone, newcomer in (("", "n:1"), ("m0:1", "o:1"), ("m1:1", "p:1")):
            add_newcomer(core, newcomer)
            if gone:
                core.machines[gone].wipe()
            assert await wait_until(
                core, lambda name=newcomer: name in core.view().members and all_vote(core), 8.0
            )
        away.seeds = ["n:1", "o:1", "p:1"]
        away.start()
        found = await wait_until(core, lambda: away.acceptor.view == core.view(), ANSWER_BOUND)
        assert found, (away.acceptor.view, core.view(), away.tasks)
        assert away.acceptor.voting_status is Standing.READING

    core.run(play())
