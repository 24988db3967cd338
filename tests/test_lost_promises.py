"""Five members, one lost disk: what was promised or copied before must not count after."""

import asyncio

from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import kinds
from marblefold.register_store.acceptor import Acceptor, Standing
from marblefold.register_store.changes import hold_configuration, keep
from marblefold.register_store.peer_call_kinds import CallKind, Refusal
from marblefold.register_store.peer_calls import answer_call
from marblefold.register_store.proposer import Proposer
from marblefold.register_store.state_recovery import is_read_quorum
from marblefold.register_store.view import View, read_view
from tests.simulated_stores import MemoryRecords

FIVE = [f"{name}:1" for name in "uwxyz"]
SPEC = "configuration"


class Reach:
    """Which members a proposer reaches; calls of a kind may be held back by a gate."""

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
        return answer_call(self.five[peer], kinds.StoreCall.FromString(call.SerializeToString()))


def begin():
    return {address: Acceptor(address, MemoryRecords(), FIVE, True) for address in FIVE}


def make_proposer(five, name, members, counter):
    proposer = Proposer(Reach(five, members), name)
    # Above or below the others' ballots, as the test wants it.
    proposer._counter = counter
    return proposer


def read_anew(five, address, sources):
    """The member comes back with an empty disk and reads; tells who answered."""
    five[address] = Acceptor(address, MemoryRecords(), FIVE, False)
    five[address].learn_view(five[sources[0]].view)
    read_on(five, address, sources)


def read_on(five, address, sources):
    for _ in range(3):
        reader = five[address]
        life = reader.generation
        call = kinds.StoreCall(
            kind=CallKind.READ, view=reader.pack_view(), sender=address, sender_life=life
        )
        answers = [answer_call(five[source], call) for source in sources]
        for answer in answers:
            reader.supersede_generation(answer.lives.get(address, ""))
        if reader.generation == life and all(answer.agreed for answer in answers):
            reader.finish_reading(answers)
            return


async def settle_loop():
    for _ in range(8):
        await asyncio.sleep(0)


def test_a_promise_lost_with_a_disk_helps_no_ballot():
    """The late proposer got x's promise before x lost its disk, y's and u's after."""

    async def play():
        five = begin()
        late = make_proposer(five, "late", ["u:1", "x:1", "y:1"], 10)
        gate = asyncio.get_running_loop().create_future()
        late._peers.gates = {(CallKind.PREPARE, "u:1"): gate, (CallKind.PREPARE, "y:1"): gate}
        task = asyncio.create_task(late.change(SPEC, hold_configuration(1, b"late"), 0.0))
        await settle_loop()
        read_anew(five, "x:1", ["w:1", "y:1", "z:1"])
        first = make_proposer(five, "first", ["w:1", "x:1", "z:1"], 0)
        chosen = await first.change(SPEC, hold_configuration(1, b"first"), 0.0)
        gate.set_result(None)
        await asyncio.gather(task, return_exceptions=True)
        reader = make_proposer(five, "reader", ["u:1", "x:1", "y:1"], 50)
        return chosen, await reader.change(SPEC, keep, 0.0)

    chosen, read = asyncio.run(play())
    assert read.value == chosen.value, "the register forked"


def test_a_copy_below_a_promise_does_not_make_a_value_chosen():
    """w and z accepted; x copied that although it had promised a higher ballot."""

    async def play():
        five = begin()
        # All the three of the late ballot promise while x's first disk lasts.
        late = make_proposer(five, "late", ["u:1", "x:1", "y:1"], 10)
        gate = asyncio.get_running_loop().create_future()
        late._peers.gates = {(CallKind.ACCEPT, peer): gate for peer in ("u:1", "x:1", "y:1")}
        task = asyncio.create_task(late.change(SPEC, hold_configuration(1, b"late"), 0.0))
        await settle_loop()
        early = make_proposer(five, "early", ["w:1", "z:1"], 0)
        call = kinds.StoreCall(
            kind=CallKind.ACCEPT,
            view=five["w:1"].pack_view(),
            register=SPEC,
            number=1,
            value=b"early",
            ballot=kinds.Ballot(counter=1, proposer="early"),
            lives={peer: five[peer].generation for peer in ("w:1", "z:1", "y:1")},
        )
        assert all(answer_call(five[peer], call).agreed for peer in ("w:1", "z:1"))
        read_anew(five, "x:1", ["w:1", "y:1", "z:1"])
        early = make_proposer(five, "settler", ["w:1", "x:1", "z:1"], 20)
        early._peers.gates = {}
        settled = await early.change(SPEC, keep, 0.0)
        gate.set_result(None)
        await asyncio.gather(task, return_exceptions=True)
        reader = make_proposer(five, "reader", ["u:1", "x:1", "y:1"], 50)
        return settled, await reader.change(SPEC, keep, 0.0)

    settled, read = asyncio.run(play())
    assert read.value == settled.value, "the register forked"


def test_a_member_that_lost_its_disk_twice_is_counted_by_one_that_missed_the_second():
    """z noted x's second life, not its third; with u and y lost z must still vote."""

    async def play():
        five = begin()
        read_anew(five, "x:1", ["w:1", "y:1", "z:1"])
        read_anew(five, "x:1", ["u:1", "w:1", "y:1"])
        assert five["x:1"].voting_status is Standing.VOTING
        proposer = make_proposer(five, "p", ["w:1", "x:1", "z:1"], 0)
        return await proposer.change(SPEC, hold_configuration(1, b"one"), 0.0)

    assert asyncio.run(play()).value == b"one"


def test_a_late_call_of_a_past_life_changes_no_note():
    """A frozen member finds the read calls of two lives in its buffers, the later first."""
    five = begin()
    read_anew(five, "x:1", ["u:1", "w:1", "y:1"])
    past = kinds.StoreCall(
        kind=CallKind.READ,
        view=five["w:1"].pack_view(),
        sender="x:1",
        sender_life=five["x:1"].generation,
    )
    read_anew(five, "x:1", ["w:1", "y:1", "z:1"])
    assert five["x:1"].voting_status is Standing.VOTING
    later = five["x:1"].generation
    answer = answer_call(five["z:1"], past)
    assert not answer.agreed and answer.reason == Refusal.READER_OF_PAST_GENERATION
    assert five["z:1"].known_generations["x:1"] == later


def test_a_reader_takes_the_latest_life_whoever_tells_it_first():
    five = begin()
    read_anew(five, "x:1", ["w:1", "y:1", "z:1"])
    read_anew(five, "x:1", ["u:1", "w:1", "y:1"])
    for order in (["z:1", "y:1", "u:1"], ["u:1", "y:1", "z:1"]):
        read_anew(five, "w:1", order)
        assert five["w:1"].known_generations["x:1"] == five["x:1"].generation


def test_lives_of_stores_outside_the_view_are_forgotten():
    """Replacements without end must not make the record of a store grow."""
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
    assert acceptor.is_member and acceptor.voting_status is Standing.READING


def test_a_member_votes_only_after_it_has_met_every_majority():
    three = View(1, "first", ("a:1", "b:1", "c:1"))
    assert not is_read_quorum(three, None, "a:1", ["b:1"])
    assert is_read_quorum(three, None, "a:1", ["b:1", "c:1"])
    five = View(1, "first", tuple(FIVE))
    assert not is_read_quorum(five, None, "u:1", ["w:1", "x:1"])
    assert is_read_quorum(five, None, "u:1", ["w:1", "x:1", "y:1"])
    # A newcomer may count the member that it replaces, but only in the very
    # life in which it waited for its place.
    swapped = three.replace_member("c:1", "n:1", "second")
    assert is_read_quorum(swapped, three, "n:1", ["b:1", "c:1"])
    assert not is_read_quorum(swapped, three, "n:1", ["c:1"])
    assert not is_read_quorum(swapped, None, "n:1", ["b:1", "c:1"])
    # A member of both views never counts the one that left.
    assert not is_read_quorum(swapped, three, "a:1", ["b:1", "c:1"])


def test_a_newcomer_that_lost_its_disk_does_not_count_the_member_that_left():
    newcomer = Acceptor("n:1", MemoryRecords(), FIVE, False)
    first = Acceptor("w:1", MemoryRecords(), FIVE, True).view
    newcomer.learn_view(first)
    newcomer.learn_view(first.replace_member("z:1", "n:1", "second"))
    assert newcomer.previous_view == first
    assert newcomer.supersede_generation("7-an earlier life that was noted")
    assert newcomer.previous_view is None
