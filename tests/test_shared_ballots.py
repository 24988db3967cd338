"""Changes that wait for a ballot at the same store share the next one, each with its outcome."""

import asyncio

from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.call_kinds import Outcome, RegisterCallKind
from marblefold.register_store.peer_call_kinds import CallKind
from marblefold.register_store.register_service import RegisterService
from tests.simulated_replicas import Core

PEERS = 4


def run(scenario):
    asyncio.run(scenario(Core(5)))


def make_service(core):
    return RegisterService(core.members[core.addresses[0]].replica.registers)


def configuration(number, value):
    return messages_pb2.RegisterCall(
        kind=RegisterCallKind.CONFIGURATION, register="configuration", number=number, value=value
    )


def replacement(order, value, number=0):
    return messages_pb2.RegisterCall(
        kind=RegisterCallKind.REPLACEMENT,
        register="owner/x",
        number=number,
        value=value,
        order=order,
    )


def test_waiting_changes_need_two_ballots_however_many_they_are():
    async def scenario(core):
        service = make_service(core)
        calls = [configuration(number, b"%d" % number) for number in range(1, 31)]
        answers = await asyncio.gather(*(service.execute(call) for call in calls))
        # The first ballot begins with the first change alone; the second has all the others.
        assert core.calls[CallKind.PREPARE] == 2 * PEERS
        assert {answer.number for answer in answers[1:]} == {30}
        assert answers[0].outcome == answers[29].outcome == Outcome.APPLIED
        assert {answer.outcome for answer in answers[1:29]} == {Outcome.SUPERSEDED}

    run(scenario)


def test_of_two_contents_of_one_number_in_a_ballot_the_second_is_a_conflict():
    async def scenario(core):
        service = make_service(core)
        answers = await asyncio.gather(
            service.execute(configuration(1, b"first")),
            service.execute(configuration(2, b"one")),
            service.execute(configuration(2, b"other")),
        )
        assert [answer.outcome for answer in answers] == [
            Outcome.SUPERSEDED if answers[0].number == 2 else Outcome.APPLIED,
            Outcome.APPLIED,
            Outcome.CONFLICT,
        ]
        assert answers[2].value == b"one"

    run(scenario)


def test_of_fenced_orders_at_one_number_a_ballot_applies_one():
    async def scenario(core):
        service = make_service(core)
        await service.execute(replacement(b"zero", b"v0"))
        answers = await asyncio.gather(
            *(service.execute(replacement(b"o%d" % n, b"v%d" % n, number=1)) for n in range(1, 9))
        )
        applied = [answer for answer in answers if answer.outcome == Outcome.APPLIED]
        assert len(applied) == 1 and applied[0].number == 2
        assert {answer.value for answer in answers} == {applied[0].value}

    run(scenario)


def test_a_caller_that_gave_up_has_no_part_in_the_next_ballot():
    async def scenario(core):
        service = make_service(core)
        first = asyncio.ensure_future(service.execute(configuration(1, b"one")))
        await asyncio.sleep(0)
        given_up = asyncio.ensure_future(service.execute(configuration(9, b"nine")))
        last = asyncio.ensure_future(service.execute(configuration(2, b"two")))
        await asyncio.sleep(0)
        given_up.cancel()
        await asyncio.gather(first, last)
        state = await core.members[core.addresses[3]].replica.registers.read("configuration")
        assert state.value == b"two"

    run(scenario)


def test_the_ballot_of_a_caller_that_gives_up_is_run_again_by_the_next_one():
    async def scenario(core):
        service = make_service(core)
        first = asyncio.ensure_future(service.execute(configuration(1, b"one")))
        await asyncio.sleep(0)
        waiting = [
            asyncio.ensure_future(service.execute(configuration(number, b"%d" % number)))
            for number in (2, 3)
        ]
        await asyncio.sleep(0)
        first.cancel()
        answers = await asyncio.gather(*waiting)
        assert [answer.number for answer in answers] == [3, 3]

    run(scenario)
