"""Reads of a register without a ballot: what counts as chosen, and what they cost others."""

import asyncio

import pytest

from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.changes import leave_unchanged, set_configuration
from marblefold.register_store.peer_call_kinds import CallKind, Refusal
from marblefold.register_store.quorum_read import SharedReads
from tests.simulated_replicas import Core

REGISTER = "configuration"


def run(scenario):
    asyncio.run(scenario(Core(5)))


async def read(core, index=0):
    """Reads at one store; returns the content."""
    state = await core.members[core.addresses[index]].replica.registers.read(REGISTER)
    return state.value


async def accept_at(core, addresses, number, value):
    """Leaves a change half done: only these stores accept it, and nobody is told."""
    proposer = core.members[addresses[0]]
    missing = set(core.addresses) - set(addresses)
    call = proposer.call

    async def call_some(peer, message):
        if message.kind == CallKind.ACCEPT and peer in missing:
            raise MeshError("call", "lost", peer)
        return await call(peer, message)

    proposer.call = call_some
    with pytest.raises(MeshError):
        await proposer.proposer.change(REGISTER, set_configuration(number, value), 0.0)
    proposer.call = call


def test_a_read_promises_nothing_and_writes_nothing():
    async def scenario(core):
        await core.change(core.addresses[0], REGISTER, set_configuration(1, b"one"))
        before = {name: member.records.load() for name, member in core.members.items()}
        core.reset_counts()
        for index in range(5):
            assert await read(core, index) == b"one"
        assert set(core.calls) == {CallKind.STATE}
        assert {name: member.records.load() for name, member in core.members.items()} == before

    run(scenario)


def test_what_a_minority_accepted_is_shown_only_once_it_is_chosen():
    async def scenario(core):
        await core.change(core.addresses[0], REGISTER, set_configuration(1, b"one"))
        await accept_at(core, core.addresses[:2], 2, b"two")
        core.reset_counts()
        # The three others agree on the value before; no later read may show less.
        core.away = set(core.addresses[:2])
        assert await read(core, 4) == b"one" and core.calls[CallKind.PREPARE] == 0
        # One of the two is needed for a majority: a ballot decides.
        core.away = set(core.addresses[2:4])
        assert await read(core, 0) == b"two" and core.calls[CallKind.PREPARE] > 0
        core.away = set(core.addresses[:2])
        assert await read(core, 4) == b"two"

    run(scenario)


def test_copies_of_a_recovery_that_met_a_higher_promise_do_not_count():
    """Two of the three holders copied the value; the promise may be of a ballot that missed it."""

    async def scenario(core):
        await core.change(core.addresses[0], REGISTER, set_configuration(1, b"one"))
        await accept_at(core, core.addresses[:1], 2, b"two")
        holder = core.members[core.addresses[0]].acceptor
        for address in core.addresses[1:3]:
            acceptor = core.members[address].acceptor
            state = holder.accepted_states[REGISTER]
            higher = state.ballot._replace(counter=state.ballot.counter + 1)
            acceptor.accepted_states[REGISTER] = state._replace(promised=higher)
            acceptor._unproven.add(REGISTER)
        core.away = set(core.addresses[3:])
        core.reset_counts()
        assert await read(core, 0) == b"two"
        assert core.calls[CallKind.ACCEPT] > 0, "the copies were taken for a majority"

    run(scenario)


def test_a_store_that_accepted_a_view_that_may_be_chosen_has_no_part_in_reads():
    async def scenario(core):
        await core.change(core.addresses[0], REGISTER, set_configuration(1, b"one"))
        acceptor = core.members[core.addresses[1]].acceptor
        call = messages_pb2.StoreCall(
            kind=CallKind.STATE, register=REGISTER, view=acceptor.pack_view()
        )
        assert acceptor.describe(call).agreed
        following = acceptor.view.replace_member(core.addresses[4], "10.0.0.9:7103", "next")
        state = acceptor.accepted_states[REGISTER]._replace(
            number=following.number, value=following.pack()
        )
        acceptor.accepted_states["view"] = state
        assert acceptor.describe(call).reason == Refusal.VIEW_IS_CHANGING

    run(scenario)


def test_stores_of_an_earlier_version_are_read_by_ballot():
    async def scenario(core):
        await core.change(core.addresses[0], REGISTER, set_configuration(1, b"one"))
        for address in core.addresses[1:]:
            member = core.members[address]
            answer = member.answer

            def answer_as_before(call, answer=answer):
                if call.kind == CallKind.STATE:
                    return messages_pb2.StoreAnswer(reason=Refusal.UNKNOWN_CALL)
                return answer(call)

            member.answer = answer_as_before
        core.reset_counts()
        assert await read(core, 0) == b"one"
        # Asked once, not in every round.
        assert core.calls[CallKind.STATE] == 4 and core.calls[CallKind.PREPARE] == 4

    run(scenario)


def test_reconciling_decides_a_state_that_only_this_store_accepted():
    async def scenario(core):
        await core.change(core.addresses[0], REGISTER, set_configuration(1, b"one"))
        await accept_at(core, core.addresses[:1], 2, b"two")
        await core.members[core.addresses[0]].replica.registers.reconcile(REGISTER)
        for index in range(5):
            assert await read(core, index) == b"two"

    run(scenario)


def test_a_caller_never_shares_a_read_that_began_before_it_asked():
    async def scenario(_core):
        started, results = [], []

        async def read_once(register):
            future = asyncio.get_running_loop().create_future()
            started.append(future)
            return await future

        reads = SharedReads(read_once)

        async def ask():
            results.append(await reads.read(REGISTER))

        first = asyncio.ensure_future(ask())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        later = [asyncio.ensure_future(ask()) for _ in range(8)]
        await asyncio.sleep(0)
        assert len(started) == 1
        started[0].set_result("first")
        await first
        while len(started) < 2:
            await asyncio.sleep(0)
        # All that asked meanwhile share one read; if the one that runs it gives up, the next does.
        later[0].cancel()
        while len(started) < 3:
            await asyncio.sleep(0)
        started[2].set_result("second")
        await asyncio.gather(*later[1:])
        assert results == ["first", *["second"] * 7] and len(started) == 3

    run(scenario)


def test_a_read_between_two_changes_is_neither_older_nor_newer():
    async def scenario(core):
        for number in range(1, 30):
            value = b"%d" % number
            by = core.addresses[number % 5]
            await core.change(by, REGISTER, set_configuration(number, value))
            assert await read(core, (number * 3) % 5) == value
        state = await core.members[core.addresses[2]].proposer.change(
            REGISTER, leave_unchanged, 1.0
        )
        assert state.value == b"29"

    run(scenario)
