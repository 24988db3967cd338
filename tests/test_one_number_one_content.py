"""Two contents are never both confirmed under one number.

Runs the real acceptors, proposers and orders under races, lost messages, power and
disk losses and member changes. In the reference model, a content confirmed under a
number stays the only one confirmed under it, and is never refused afterwards.
"""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import rule

from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.call_kinds import Outcome, RegisterCallKind
from marblefold.register_store.changes import RegisterContent
from marblefold.register_store.orders import read_order
from tests.simulated_orders import OrderedStores, accepted_content
from tests.simulated_stores import ALL, SEEDS
from tests.test_store_safety import StoreMachine

REGISTER = "configuration"
CONTENTS = (b'{"a": 1}', b'{"a":1}', b'{"b": 2}')


def make_call(number, content):
    return messages_pb2.RegisterCall(
        kind=RegisterCallKind.CONFIGURATION, register=REGISTER, number=number, value=content
    )


class NumberMachine(StoreMachine):
    """Operators that repeatedly send a few contents under a few numbers."""

    def __init__(self):
        super().__init__()
        self.confirmed = {}
        self.refused = set()

    @rule(address=st.sampled_from(ALL), step=st.integers(-2, 1), content=st.sampled_from(CONTENTS))
    def order(self, address, step, content):
        store = self.stores[address]
        if store.acceptor.view is None or len(self.tasks) > 3:
            return
        number = max(1, self.next_number + step)
        self.next_number = max(self.next_number, number)
        call = make_call(number, content)
        # Confirmed before it is sent again, so it must not be refused.
        is_known = self.confirmed.get(number) == content
        task = self.loop.create_task(store.proposer.change(REGISTER, read_order(call).change, 0.0))
        self.tasks.append((task, (call, is_known, self.acknowledged), store.acceptor.generation))
        self.run_loop_turns()

    @rule(address=st.sampled_from(ALL))
    def propose(self, address):
        self.order(address, 1, CONTENTS[self.next_number % len(CONTENTS)])

    def check_result(self, task, sent):
        call, is_known, floor = sent
        super().check_result(task, floor)
        if task.exception() is not None:
            return
        state = task.result()
        outcome = read_order(call).outcome_of(RegisterContent(state.number, state.value))
        if outcome is Outcome.APPLIED:
            assert self.confirmed.setdefault(call.number, call.value) == call.value
            assert (call.number, call.value) not in self.refused
        if outcome is Outcome.CONFLICT:
            assert not is_known, "a confirmed order was refused"
            assert self.confirmed.get(call.number) != call.value
            self.refused.add((call.number, call.value))
        if outcome is Outcome.SUPERSEDED:
            assert state.number > call.number


NumberMachine.TestCase.settings = settings(
    max_examples=200,
    stateful_step_count=50,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestOneNumber = NumberMachine.TestCase


def test_a_content_accepted_by_a_minority_is_replaced_and_reported_as_a_conflict():
    stores = OrderedStores(lambda: 0.0)
    first = stores.propose("a:1", make_call(4, CONTENTS[0]))
    stores.deliver_until(lambda: accepted_content(stores, "a:1", REGISTER).value == CONTENTS[0])
    stores.lose_all()
    # Only the disk of a holds it: b and c choose the other content.
    assert (
        stores.execute_order("b:1", make_call(4, CONTENTS[1]), except_from="a:1") is Outcome.APPLIED
    )
    stores.deliver_all("", stores.run_tasks)
    assert first.result() is Outcome.CONFLICT
    assert stores.execute_order("c:1", make_call(4, CONTENTS[0])) is Outcome.CONFLICT
    assert stores.execute_order("c:1", make_call(4, CONTENTS[1])) is Outcome.APPLIED
    stores.close()


def test_a_content_whose_answer_was_lost_is_confirmed_by_any_store_on_retry():
    stores = OrderedStores(lambda: 0.0)
    first = stores.propose("a:1", make_call(4, CONTENTS[0]))
    stores.deliver_until(
        lambda: (
            accepted_content(stores, "a:1", REGISTER).value
            and accepted_content(stores, "b:1", REGISTER).value
        )
    )
    first.cancel()
    stores.lose_all()
    for address in SEEDS:
        stores.stores[address].lose_power()
    assert stores.execute_order("c:1", make_call(4, CONTENTS[2])) is Outcome.CONFLICT
    for address in SEEDS:
        assert stores.execute_order(address, make_call(4, CONTENTS[0])) is Outcome.APPLIED
    assert stores.execute_order("b:1", make_call(9, CONTENTS[1])) is Outcome.APPLIED
    # Overtaken by a newer number: still acknowledged, and the newer content stays.
    for content in CONTENTS:
        assert stores.execute_order("a:1", make_call(4, content)) is Outcome.SUPERSEDED
    assert stores.read("a:1", REGISTER)[:2] == (9, CONTENTS[1])
    stores.close()
