"""Promises and copies from before a disk loss must not count towards a later majority.

Most cases have five members, of which one loses its disk.
"""

import asyncio

from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.acceptor import Acceptor, VotingStatus
from marblefold.register_store.changes import leave_unchanged, set_configuration
from marblefold.register_store.peer_call_kinds import CallKind, Refusal
from marblefold.register_store.peer_calls import answer_call
from marblefold.register_store.proposer import Proposer
from marblefold.register_store.state_recovery import is_read_quorum
from marblefold.register_store.view import View, read_view
from tests.simulated_stores import MemoryRecords

FIVE = [f"{name}:1" for name in "uwxyz"]
REGISTER = "configuration"


class PartialNetwork:
    """The members that a proposer reaches; a future in `gates` delays a kind of call to one."""

    def __init__(self, five, members):
        self.five, self.members = five, members
        self.gates = {}

    def current_view(self):
        return self.five["w:1"].view

    def learn_view(self, view):
        pass

    async def call(self, peer, call):
        gate = self.gates.get((call.kind, peer))
        if gate is not None:
            await gate
        if peer not in self.members:
            raise MeshError("network", "lost")
        return answer_call(
            self.five[peer], messages_pb2.StoreCall.FromString(call.SerializeToString())
        )


def start_members():
    return {address: Acceptor(address, MemoryRecords(), FIVE, True) for address in FIVE}


def make_proposer(five, name, members, counter):
    proposer = Proposer(PartialNetwork(five, members), name)
    # Sets whether its ballots are above or below those of the others.
    proposer._counter = counter
    return proposer


def recover_on_empty_disk(five, address, sources):
    """Restarts the member on an empty disk and lets it recover from the sources."""
    five[address] = Acceptor(address, MemoryRecords(), FIVE, False)
    five[address].learn_view(five[sources[0]].view)
    recover(five, address, sources)


def recover(five, address, sources):
    for _ in range(3):
        reader = five[address]
        generation = reader.generation
        call = messages_pb2.StoreCall(
            kind=CallKind.READ, view=reader.pack_view(), sender=address, sender_life=generation
        )
        answers = [answer_call(five[source], call) for source in sources]
        for answer in answers:
            reader.supersede_generation(answer.lives.get(address, ""))
        if reader.generation == generation and all(answer.agreed for answer in answers):
            reader.finish_reading(answers)
            return


async def run_loop_turns():
    for _ in range(8):
        await asyncio.sleep(0)


def test_a_promise_lost_with_a_disk_does_not_count_for_a_ballot():
    """The late proposer gets the promise of x before x loses its disk, those of y and u after."""

    async def run_scenario():
        five = start_members()
        late = make_proposer(five, "late", ["u:1", "x:1", "y:1"], 10)
        gate = asyncio.get_running_loop().create_future()
        late._peers.gates = {(CallKind.PREPARE, "u:1"): gate, (CallKind.PREPARE, "y:1"): gate}
        task = asyncio.create_task(late.change(REGISTER, set_configuration(1, b"late"), 0.0))
        await run_loop_turns()
        recover_on_empty_disk(five, "x:1", ["w:1", "y:1", "z:1"])
        first = make_proposer(five, "first", ["w:1", "x:1", "z:1"], 0)
        chosen = await first.change(REGISTER, set_configuration(1, b"first"), 0.0)
        gate.set_result(None)
        await asyncio.gather(task, return_exceptions=True)
        reader = make_proposer(five, "reader", ["u:1", "x:1", "y:1"], 50)
        return chosen, await reader.change(REGISTER, leave_unchanged, 0.0)

    chosen, read = asyncio.run(run_scenario())
    assert read.value == chosen.value, "two values were chosen under one number"


def test_a_copy_below_a_promise_does_not_make_a_value_chosen():
    """w and z accept; x copies the value although it has promised a higher ballot."""

    async def run_scenario():
        five = start_members()
        # All three members of the late ballot promise before x loses its disk.
        late = make_proposer(five, "late", ["u:1", "x:1", "y:1"], 10)
        gate = asyncio.get_running_loop().create_future()
        late._peers.gates = {(CallKind.ACCEPT, peer): gate for peer in ("u:1", "x:1", "y:1")}
        task = asyncio.create_task(late.change(REGISTER, set_configuration(1, b"late"), 0.0))
        await run_loop_turns()
        early = make_proposer(five, "early", ["w:1", "z:1"], 0)
        call = messages_pb2.StoreCall(
            kind=CallKind.ACCEPT,
            view=five["w:1"].pack_view(),
            register=REGISTER,
            number=1,
            value=b"early",
            ballot=messages_pb2.Ballot(counter=1, proposer="early"),
            lives={peer: five[peer].generation for peer in ("w:1", "z:1", "y:1")},
        )
        assert all(answer_call(five[peer], call).agreed for peer in ("w:1", "z:1"))
        recover_on_empty_disk(five, "x:1", ["w:1", "y:1", "z:1"])
        early = make_proposer(five, "settler", ["w:1", "x:1", "z:1"], 20)
        early._peers.gates = {}
        chosen = await early.change(REGISTER, leave_unchanged, 0.0)
        gate.set_result(None)
        await asyncio.gather(task, return_exceptions=True)
        reader = make_proposer(five, "reader", ["u:1", "x:1", "y:1"], 50)
        return chosen, await reader.change(REGISTER, leave_unchanged, 0.0)

    chosen, read = asyncio.run(run_scenario())
    assert read.value == chosen.value, "two values were chosen under one number"


def test_a_member_that_lost_its_disk_twice_is_counted_by_one_that_missed_the_second():
    """z recorded the second generation of x, not its third; with u and y lost z must still vote."""

    async def run_scenario():
        five = start_members()
        recover_on_empty_disk(five, "x:1", ["w:1", "y:1", "z:1"])
        recover_on_empty_disk(five, "x:1", ["u:1", "w:1", "y:1"])
        assert five["x:1"].voting_status is VotingStatus.VOTING
        proposer = make_proposer(five, "p", ["w:1", "x:1", "z:1"], 0)
        return await proposer.change(REGISTER, set_configuration(1, b"one"), 0.0)

    assert asyncio.run(run_scenario()).value == b"one"


def test_a_late_call_of_an_earlier_generation_does_not_change_the_recorded_one():
    """A frozen member receives the read calls of two generations at once, the later one first."""
    five = start_members()
    recover_on_empty_disk(five, "x:1", ["u:1", "w:1", "y:1"])
    earlier_call = messages_pb2.StoreCall(
        kind=CallKind.READ,
        view=five["w:1"].pack_view(),
        sender="x:1",
        sender_life=five["x:1"].generation,
    )
    recover_on_empty_disk(five, "x:1", ["w:1", "y:1", "z:1"])
    assert five["x:1"].voting_status is VotingStatus.VOTING
    later = five["x:1"].generation
    answer = answer_call(five["z:1"], earlier_call)
    assert not answer.agreed and answer.reason == Refusal.READER_OF_PAST_GENERATION
    assert five["z:1"].known_generations["x:1"] == later


def test_a_reader_keeps_the_latest_generation_whichever_answer_comes_first():
    five = start_members()
    recover_on_empty_disk(five, "x:1", ["w:1", "y:1", "z:1"])
    recover_on_empty_disk(five, "x:1", ["u:1", "w:1", "y:1"])
    for order in (["z:1", "y:1", "u:1"], ["u:1", "y:1", "z:1"]):
        recover_on_empty_disk(five, "w:1", order)
        assert five["w:1"].known_generations["x:1"] == five["x:1"].generation


def test_generations_of_stores_outside_the_view_are_dropped():
    """Repeated replacements of members must not make the record of a store grow."""
    acceptor = Acceptor("w:1", MemoryRecords(), FIVE, True)
    for number in range(50):
        acceptor.known_generations[f"n{number}:1"] = f"1-{number}"
        acceptor.learn_view(
            acceptor.view.replace_member(acceptor.view.members[0], f"n{number}:1", f"mark {number}")
        )
    assert set(acceptor.known_generations) <= {*acceptor.view.members, "w:1"}
    assert read_view(acceptor.pack_view()) == acceptor.view


def test_a_member_that_missed_a_view_reads_before_it_votes_again():
    acceptor = Acceptor("w:1", MemoryRecords(), FIVE, True)
    second = acceptor.view.replace_member("z:1", "n:1", "second")
    acceptor.learn_view(second.replace_member("y:1", "o:1", "third"))
    assert acceptor.is_member and acceptor.voting_status is VotingStatus.READING


def test_a_member_votes_only_after_it_has_read_from_a_read_quorum():
    three = View(1, "first", ("a:1", "b:1", "c:1"))
    assert not is_read_quorum(three, None, "a:1", ["b:1"])
    assert is_read_quorum(three, None, "a:1", ["b:1", "c:1"])
    five = View(1, "first", tuple(FIVE))
    assert not is_read_quorum(five, None, "u:1", ["w:1", "x:1"])
    assert is_read_quorum(five, None, "u:1", ["w:1", "x:1", "y:1"])
    # A newcomer may count the member that it replaces, but only in the generation
    # in which it waited to join.
    replaced = three.replace_member("c:1", "n:1", "second")
    assert is_read_quorum(replaced, three, "n:1", ["b:1", "c:1"])
    assert not is_read_quorum(replaced, three, "n:1", ["c:1"])
    assert not is_read_quorum(replaced, None, "n:1", ["b:1", "c:1"])
    # A member of both views may not count the one that left.
    assert not is_read_quorum(replaced, three, "a:1", ["b:1", "c:1"])


def test_a_newcomer_that_lost_its_disk_does_not_count_the_member_that_left():
    newcomer = Acceptor("n:1", MemoryRecords(), FIVE, False)
    first = Acceptor("w:1", MemoryRecords(), FIVE, True).view
    newcomer.learn_view(first)
    newcomer.learn_view(first.replace_member("z:1", "n:1", "second"))
    assert newcomer.previous_view == first
    assert newcomer.supersede_generation("7-an earlier generation that was recorded")
    assert newcomer.previous_view is None
