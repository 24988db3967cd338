"""Orders to evacuate take effect at most once, and never after a later one.

Runs the real control calls, orders, proposers and acceptors; the test controls
the network and the clock.  The model is one sequential operator: it sends an
order, retries at another node after a second without an answer, and sends the
next order once the last one was acknowledged.  From an acknowledgement until the
next order, only the acknowledged state may be read.
"""

from types import SimpleNamespace

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from marblefold import wire_names
from marblefold.http_connections.call_router import Call
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.call_kinds import Outcome, RegisterCallKind
from marblefold.register_store.changes import RegisterContent, leave_unchanged
from marblefold.register_store.orders import read_order
from marblefold.registry.command_router import CommandRouter
from marblefold.registry.control_calls import ControlCalls
from tests.simulated_orders import OrderedStores, StoreClient, accepted_content
from tests.simulated_stores import SEEDS

ZONE = "hall-a"
REGISTER = "evacuation/" + ZONE
METHODS = {b"on": "PUT", b"off": "DELETE"}
NEVER_STALLED = SimpleNamespace(may_be_stale=lambda: False)
IN_CONTACT = SimpleNamespace(is_held=True)


class Operator(RuleBasedStateMachine):
    """One operator, three stores, and abandoned attempts that continue on their own."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.stores = OrderedStores(lambda: self.now)
        self.wanted = None
        self.acknowledged = b""
        self.attempt = None
        self.reads = []

    def run_tasks(self):
        self.stores.run_tasks()
        if self.attempt is not None and self.attempt.done():
            answer, self.attempt = self.attempt.result(), None
            if answer.status == 200:
                self.acknowledged, self.wanted = self.wanted, None
        for read in [read for read in self.reads if read.done()]:
            self.reads.remove(read)
            if read.exception() is None and self.wanted is None:
                assert (read.result().value or b"off") == (self.acknowledged or b"off")

    def send(self, addresses):
        client = StoreClient(self.stores, addresses)
        router = CommandRouter(NEVER_STALLED, IN_CONTACT, lambda: self.now)
        ControlCalls(client, lambda: {ZONE}, dict).add_to(router)
        methods, _subject = router._find(wire_names.EVACUATION_PATH.format(ZONE))
        serve = methods[METHODS[self.wanted]].serve
        self.attempt = self.stores.start(serve(Call(ZONE, b"")))
        self.run_tasks()

    @rule(value=st.sampled_from([b"on", b"off"]), addresses=st.permutations(SEEDS))
    def order(self, value, addresses):
        if self.wanted is None:
            # Reads that began before the order may or may not see it.
            self.reads.clear()
            self.wanted = value
            self.send(addresses[:1])

    @rule(addresses=st.permutations(SEEDS), hedged=st.integers(1, 2))
    def retry(self, addresses, hedged):
        """Retries the order at another node after a second without an answer."""
        if self.wanted is not None:
            self.now += 1.0
            self.send(addresses[:hedged])

    @rule(
        value=st.sampled_from([b"on", b"off"]),
        addresses=st.permutations(SEEDS),
        steps=st.integers(0, 8),
    )
    def order_past_a_slow_store(self, value, addresses, steps):
        """The first store stops answering at some step; another executes the order."""
        slow, other, _third = addresses
        self.order(value, [slow])
        for _ in range(steps):
            self.deliver(0, 1)
        self.retry([other], 1)
        self.deliver_all(slow)

    @rule(except_from=st.sampled_from(["", *SEEDS]))
    def deliver_all(self, except_from):
        self.stores.deliver_all(except_from, self.run_tasks)

    @rule(index=st.integers(0, 30), repeat=st.integers(1, 12))
    def deliver(self, index, repeat):
        for _ in range(repeat):
            self.stores.deliver(index)
            self.run_tasks()

    @rule(index=st.integers(0, 30))
    def lose(self, index):
        self.stores.lose(index)
        self.run_tasks()

    @rule(address=st.sampled_from(SEEDS))
    def lose_power(self, address):
        self.stores.stores[address].lose_power()

    @rule(address=st.sampled_from(SEEDS))
    def read_back(self, address):
        if self.wanted is None:
            proposer = self.stores.stores[address].proposer
            self.reads.append(self.stores.start(proposer.change(REGISTER, leave_unchanged, 5.0)))
            self.run_tasks()

    @rule(address=st.sampled_from(SEEDS))
    def read_back_at_once(self, address):
        self.read_back(address)
        self.deliver_all("")

    def teardown(self):
        self.stores.close()


Operator.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=30,
    deadline=None,
    # Shrinking takes minutes on simulated networks and adds little.
    phases=[Phase.explicit, Phase.reuse, Phase.generate],
    suppress_health_check=list(HealthCheck),
)
TestOneOperator = Operator.TestCase


@pytest.mark.parametrize("steps", range(10))
def test_a_start_whose_store_hangs_at_any_step_has_no_effect_after_its_stop(steps):
    """Start at a, which stops answering; start and stop at b; then a continues."""
    model = Operator()
    model.order(b"off", ["b:1"])
    model.deliver_all("")
    model.order_past_a_slow_store(b"on", ["a:1", "b:1", "c:1"], steps)
    model.order(b"off", ["b:1"])
    model.deliver_all("a:1")
    assert model.wanted is None and model.acknowledged == b"off"
    model.deliver_all("")
    model.read_back_at_once("c:1")
    assert not model.reads
    model.teardown()


def make_call(kind, value, number, order=b"one"):
    return messages_pb2.RegisterCall(
        kind=kind, register=REGISTER, number=number, value=value, order=order
    )


def test_a_start_left_at_a_minority_does_not_follow_a_stop_that_was_acknowledged():
    stores = OrderedStores(lambda: 0.0)
    for number, value in ((0, b"on"), (1, b"off")):
        stores.execute_order("a:1", make_call(RegisterCallKind.EVACUATION, value, number, value))
    start = make_call(RegisterCallKind.EVACUATION, b"on", 2, b"late")
    late = stores.propose("a:1", start)
    stores.deliver_until(lambda: accepted_content(stores, "a:1", REGISTER).value == b"on")
    # Only its own store has accepted it; b and c never received the accept.
    stores.lose_all()
    stop = make_call(RegisterCallKind.EVACUATION, b"on", 2, b"again")
    assert stores.execute_order("b:1", stop, except_from="a:1") is Outcome.APPLIED
    stop = make_call(RegisterCallKind.EVACUATION, b"off", 3, b"stop")
    assert stores.execute_order("b:1", stop, except_from="a:1") is Outcome.APPLIED
    stores.deliver_all("", stores.run_tasks)
    assert late.done() and late.result() is Outcome.SUPERSEDED
    assert stores.read("c:1", REGISTER).value == b"off"
    stores.close()


def test_one_order_at_two_stores_at_once_takes_effect_once():
    stores = OrderedStores(lambda: 0.0)
    call = make_call(RegisterCallKind.REPLACEMENT, b"document", 0)
    attempts = [stores.propose(address, call) for address in ("a:1", "b:1")]
    # Both have prepared; then one completes, and the other one after it.
    stores.deliver_until(lambda: len(stores.network.waiting) > 4 or attempts[0].done())
    stores.deliver_all("a:1", stores.run_tasks)
    stores.deliver_all("", stores.run_tasks)
    assert [attempt.result() for attempt in attempts] == [Outcome.APPLIED, Outcome.APPLIED]
    assert stores.read("c:1", REGISTER)[:2] == (1, b"document")
    stores.close()


def test_a_document_that_was_applied_and_then_replaced_is_recognized_by_its_order():
    content = RegisterContent(0, b"")
    first = read_order(make_call(RegisterCallKind.REPLACEMENT, b"first", 0))
    content = first.change(content)
    content = read_order(make_call(RegisterCallKind.REPLACEMENT, b"second", 1, b"two")).change(
        content
    )
    assert first.change(content) == content and first.outcome_of(content) is Outcome.APPLIED
    never = read_order(make_call(RegisterCallKind.REPLACEMENT, b"first", 0, b"never"))
    assert never.change(content) == content and never.outcome_of(content) is Outcome.SUPERSEDED


def test_a_start_that_is_sent_again_after_nothing_else_happened_holds():
    stores = OrderedStores(lambda: 0.0)
    start = make_call(RegisterCallKind.EVACUATION, b"on", 0, b"one")
    first = stores.propose("a:1", start)
    stores.lose_all()
    again = make_call(RegisterCallKind.EVACUATION, b"on", 0, b"two")
    assert stores.execute_order("b:1", again, except_from="a:1") is Outcome.APPLIED
    stores.deliver_all("", stores.run_tasks)
    assert first.result() is Outcome.APPLIED
    assert stores.read("c:1", REGISTER)[:2] == (1, b"on")
    stores.close()


def test_the_stored_orders_are_few_and_cover_those_in_progress_at_once():
    content = RegisterContent(0, b"")
    for number in range(30):
        order = b"%d" % number
        content = read_order(make_call(RegisterCallKind.REPLACEMENT, b"x", number, order)).change(
            content
        )
    assert content.number == 30 and content.orders == tuple(b"%d" % one for one in range(22, 30))


def test_a_stop_of_what_is_stopped_already_fences_off_an_earlier_start():
    """An abandoned start reaches its store after a stop that changed no state."""
    stores = OrderedStores(lambda: 0.0)
    for number, value in ((0, b"on"), (1, b"off")):
        stores.execute_order("a:1", make_call(RegisterCallKind.EVACUATION, value, number, value))
    start = make_call(RegisterCallKind.EVACUATION, b"on", 2, b"abandoned")
    stop = make_call(RegisterCallKind.EVACUATION, b"off", 2, b"again")
    stores.execute_order("b:1", stop)
    assert accepted_content(stores, "b:1", REGISTER).value == b"off"
    stores.execute_order("c:1", start)
    assert accepted_content(stores, "c:1", REGISTER).value == b"off"
    stores.close()
