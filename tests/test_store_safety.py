"""Model-based safety test of stores under races, lost messages, power and disk losses.

Members are also added and replaced. The reference model is one number, the highest
that was acknowledged: a value acknowledged later never has a lower number, and two
values with one number are never different.
"""

import asyncio
import contextlib
import itertools
from types import SimpleNamespace
from unittest import mock

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.acceptor import VIEW_REGISTER, Acceptor, VotingStatus
from marblefold.register_store.changes import change_view, set_configuration
from marblefold.register_store.peer_calls import answer_call
from marblefold.register_store.view import read_view
from tests.simulated_stores import ALL, SEEDS, MemoryRecords, Network, Store


class StoreMachine(RuleBasedStateMachine):
    """Four machines, three of them in the first view."""

    def __init__(self):
        super().__init__()
        # Runs must be reproducible: generations are part of proposer names, which
        # order ballots, so their random part is counted; and no phase of a ballot
        # may end by the real time that it took.
        nonces = itertools.count()
        counted = SimpleNamespace(urandom=lambda size: next(nonces).to_bytes(size, "big"))
        self.patches = contextlib.ExitStack()
        self.patches.enter_context(mock.patch("marblefold.register_store.generations.os", counted))
        self.patches.enter_context(
            mock.patch("marblefold.register_store.phase_deadline._PHASE_TIMEOUT_SECONDS", 1e6)
        )
        self.loop = asyncio.new_event_loop()
        self.network = Network()
        self.stores = {address: Store(self, address, True) for address in ALL}
        self.next_number = 0
        self.acknowledged = 0
        self.values = {}
        self.tasks = []
        self.wiped = None

    def run_loop_turns(self):
        for _ in range(6):
            self.loop.run_until_complete(asyncio.sleep(0))
        for entry in list(self.tasks):
            task, floor, _generation = entry
            if task.done():
                self.tasks.remove(entry)
                self.check_result(task, floor)

    def check_result(self, task, floor):
        if task.exception() is not None:
            assert isinstance(task.exception(), MeshError)
            return
        state = task.result()
        assert state.number >= floor, "an acknowledged value was lost"
        first = self.values.setdefault(state.number, state.value)
        assert first == state.value, "two values were acknowledged under one number"
        self.acknowledged = max(self.acknowledged, state.number)

    @rule(address=st.sampled_from(ALL))
    def propose(self, address):
        store = self.stores[address]
        if store.acceptor.view is None or len(self.tasks) > 3:
            return
        self.next_number += 1
        change = set_configuration(self.next_number, f"{address} {self.next_number}".encode())
        task = self.loop.create_task(store.proposer.change("configuration", change, 0.0))
        self.tasks.append((task, self.acknowledged, store.acceptor.generation))
        self.run_loop_turns()

    @rule(address=st.sampled_from(SEEDS), slow=st.sampled_from(SEEDS))
    def propose_around_slow_store(self, address, slow):
        """Proposes, and delivers all messages except those to one slow store."""
        self.propose(address)
        for _ in range(12):
            for entry in list(self.network.waiting):
                deliver, future = entry
                if getattr(deliver, "peer", None) == slow:
                    continue
                self.network.waiting.remove(entry)
                if not future.done():
                    future.set_result(deliver())
                self.run_loop_turns()

    @rule(address=st.sampled_from(SEEDS))
    @precondition(lambda self: self.all_members_vote())
    def wipe_and_read(self, address):
        self.stores[address].wipe()
        self.read(address)
        self.read(address)

    @rule(index=st.integers(0, 30), repeat=st.integers(1, 12))
    def deliver(self, index, repeat):
        for _ in range(repeat):
            if not self.network.waiting:
                return
            deliver, future = self.network.waiting.pop(index % len(self.network.waiting))
            if not future.done():
                future.set_result(deliver())
            self.run_loop_turns()

    @rule(index=st.integers(0, 30))
    def lose(self, index):
        if self.network.waiting:
            _deliver, future = self.network.waiting.pop(index % len(self.network.waiting))
            if not future.done():
                future.set_exception(MeshError("network", "lost"))
            self.run_loop_turns()

    @rule(address=st.sampled_from(ALL))
    def lose_power(self, address):
        self.stores[address].lose_power()

    @rule(address=st.sampled_from(SEEDS))
    @precondition(lambda self: self.all_members_vote())
    def wipe(self, address):
        # The system must tolerate one lost disk at a time.
        self.stores[address].wipe()

    @rule(address=st.sampled_from(ALL))
    def read(self, address):
        store = self.stores[address]
        acceptor = store.acceptor
        if acceptor.voting_status is VotingStatus.VOTING:
            return
        generation = acceptor.generation
        answers = []
        for peer in ALL:
            if peer == address:
                continue
            call = messages_pb2.StoreCall(
                kind="read", view=acceptor.pack_view(), sender=address, sender_life=generation
            )
            answer = answer_call(self.stores[peer].acceptor, call)
            if acceptor.view and peer in acceptor.view.members and answer.agreed:
                answers.append(answer)
            if answer.view:
                acceptor.learn_view(read_view(answer.view))
            # After a disk loss the store learns here of an earlier generation that was recorded.
            acceptor.supersede_generation(answer.lives.get(address, ""))
        if acceptor.generation != generation:
            return
        same = {answer.view for answer in answers} == {acceptor.pack_view()}
        if acceptor.is_member and same and len(answers) >= acceptor.view.read_quorum:
            acceptor.finish_reading(answers)

    @rule(
        by=st.sampled_from(ALL), removed=st.sampled_from(["", *ALL]), newcomer=st.sampled_from(ALL)
    )
    @precondition(lambda self: self.all_members_vote())
    def replace_or_add_member(self, by, removed, newcomer):
        acceptor = self.stores[by].acceptor
        view = acceptor.view
        if not acceptor.is_member or newcomer in view.members:
            return
        if removed and removed not in view.members:
            return
        nonce = f"{by}{self.next_number}"
        following = (
            view.replace_member(removed, newcomer, nonce)
            if removed
            else view.add_member(newcomer, nonce)
        )

        async def run():
            state = await self.stores[by].proposer.change(
                VIEW_REGISTER, change_view(view, following), 0.0
            )
            acceptor.learn_view(read_view(state.value))

        self.loop.create_task(run()).add_done_callback(lambda task: task.exception())
        self.run_loop_turns()

    def all_members_vote(self):
        views = {store.acceptor.pack_view() for store in self.stores.values()}
        return len(views) == 1 and all(
            self.stores[peer].acceptor.voting_status is VotingStatus.VOTING
            for peer in self.stores["a:1"].acceptor.view.members
        )

    @invariant()
    def majority_holds_acknowledged_value(self):
        """Once all members vote, every majority includes a holder of the acknowledged value."""
        if not self.all_members_vote() or self.acknowledged == 0:
            return
        view = self.stores["a:1"].acceptor.view
        numbers = sorted(
            self.stores[peer].acceptor.accepted_states["configuration"].number
            if "configuration" in self.stores[peer].acceptor.accepted_states
            else 0
            for peer in view.members
        )
        # Every majority includes a holder, so fewer than a majority may lack the value.
        assert numbers[view.majority - 1] >= self.acknowledged

    def teardown(self):
        for _deliver, future in self.network.waiting:
            if not future.done():
                future.set_exception(MeshError("network", "test ended"))
        self.network.waiting.clear()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        for _ in range(20):
            self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()
        self.patches.close()


StoreMachine.TestCase.settings = settings(
    max_examples=250, stateful_step_count=50, deadline=None, suppress_health_check=list(HealthCheck)
)
TestStoreSafety = StoreMachine.TestCase


def make_call(kind, acceptor_view, **fields):
    """Makes a call between stores of the first view."""
    return messages_pb2.StoreCall(kind=kind, view=acceptor_view, **fields)


def test_an_accept_that_counts_on_a_superseded_generation_is_refused():
    """The proposer d has c's accept from before c lost its disk and recovered."""
    disks = {address: MemoryRecords() for address in SEEDS}
    stores = {address: Acceptor(address, disks[address], SEEDS, True) for address in SEEDS}
    view = stores["a:1"].pack_view()
    ballot = messages_pb2.Ballot(counter=5, proposer="d:1")
    prepare = make_call("prepare", view, register="configuration", ballot=ballot)
    generations = {peer: answer_call(stores[peer], prepare).life for peer in SEEDS}
    accept = make_call(
        "accept",
        view,
        register="configuration",
        ballot=ballot,
        number=9,
        value=b"nine",
        lives=generations,
    )
    assert answer_call(stores["c:1"], accept).agreed
    stores["c:1"] = Acceptor("c:1", MemoryRecords(), SEEDS, False)
    reader = stores["c:1"]
    reader.learn_view(read_view(view))
    read = make_call("read", view, sender="c:1", sender_life=reader.generation)
    reader.finish_reading([answer_call(stores[peer], read) for peer in ("a:1", "b:1")])
    # Only now does the accept reach a: with the lost one of c it would make two of three.
    late = answer_call(stores["a:1"], accept)
    assert not late.agreed and late.reason == "counts on a past life"
    # The same must hold after a power loss of a itself.
    stores["a:1"] = Acceptor("a:1", disks["a:1"], SEEDS, False)
    assert not answer_call(stores["a:1"], accept).agreed
