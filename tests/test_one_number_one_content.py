"""One number never has two contents that were both confirmed.

The real acceptors, proposers and orders under races, cuts, losses of power,
wipes and swaps.  The plain model: a content confirmed under a number stays
the only one ever confirmed under it, and is never refused from then on.
"""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import rule

from marblefold.inner_protocol.messages import kinds
from marblefold.register_store.call_kinds import Outcome, RegisterCallKind
from marblefold.register_store.changes import Held
from marblefold.register_store.orders import read_order
from tests.simulated_orders import OrderedStores, held_of
from tests.simulated_stores import ALL, SEEDS
from tests.test_store_safety import StoreMachine

REGISTER = "configuration"
CONTENTS = (b'{"a": 1}', b'{"a":1}', b'{"b": 2}')


def make_call(number, content):
    return kinds.RegisterCall(
        kind=RegisterCallKind.CONFIGURATION, register=REGISTER, number=number, value=content
    )


class NumberMachine(StoreMachine):
    """Operators that send few numbers with few contents, again and again."""

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
        # Known at its sending, so never refused afterwards.
        is_known = self.confirmed.get(number) == content
        task = self.loop.create_task(store.proposer.change(REGISTER, read_order(call).change, 0.0))
        self.tasks.append((task, (call, is_known, self.acknowledged), store.acceptor.generation))
        self.turn()

    @rule(address=st.sampled_from(ALL))
    def propose(self, address):
        self.order(address, 1, CONTENTS[self.next_number % len(CONTENTS)])

    def judge(self, task, sent):
        call, is_known, floor = sent
        super().judge(task, floor)
        if task.exception() is not None:
            return
        holding = task.result()
        outcome = read_order(call).judge(Held(holding.number, holding.value))
        if outcome is Outcome.HELD:
            assert self.confirmed.setdefault(call.number, call.value) == call.value
            assert (call.number, call.value) not in self.refused
        if outcome is Outcome.CONFLICT:
            assert not is_known, "a confirmed order was refused"
            assert self.confirmed.get(call.number) != call.value
            self.refused.add((call.number, call.value))
        if outcome is Outcome.OVERTAKEN:
            assert holding.number > call.number


NumberMachine.TestCase.settings = settings(
    max_examples=200,
    stateful_step_count=50,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestOneNumber = NumberMachine.TestCase


def test_a_content_left_at_a_minority_gives_way_and_is_told_so():
    stores = OrderedStores(lambda: 0.0)
    first = stores.propose("a:1", make_call(4, CONTENTS[0]))
    stores.deliver_until(lambda: held_of(stores, "a:1", REGISTER).value == CONTENTS[0])
    stores.lose_all()
    # Nothing but a's own disk holds it: b and c choose the other content.
    assert stores.do("b:1", make_call(4, CONTENTS[1]), but="a:1") is Outcome.HELD
    stores.deliver_all("", stores.turn)
    assert first.result() is Outcome.CONFLICT
    assert stores.do("c:1", make_call(4, CONTENTS[0])) is Outcome.CONFLICT
    assert stores.do("c:1", make_call(4, CONTENTS[1])) is Outcome.HELD
    stores.close()


def test_a_content_whose_answer_was_lost_is_confirmed_wherever_it_is_sent_again():
    stores = OrderedStores(lambda: 0.0)
    first = stores.propose("a:1", make_call(4, CONTENTS[0]))
    stores.deliver_until(
        lambda: held_of(stores, "a:1", REGISTER).value and held_of(stores, "b:1", REGISTER).value
    )
    first.cancel()
    stores.lose_all()
    for address in SEEDS:
        stores.stores[address].lose_power()
    assert stores.do("c:1", make_call(4, CONTENTS[2])) is Outcome.CONFLICT
    for address in SEEDS:
        assert stores.do(address, make_call(4, CONTENTS[0])) is Outcome.HELD
    assert stores.do("b:1", make_call(9, CONTENTS[1])) is Outcome.HELD
    # Overtaken by now, but taken: acknowledged, and nothing goes back.
    for content in CONTENTS:
        assert stores.do("a:1", make_call(4, content)) is Outcome.OVERTAKEN
    assert stores.read("a:1", REGISTER)[:2] == (9, CONTENTS[1])
    stores.close()
