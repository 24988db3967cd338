"""A registry that was frozen or cut off neither acknowledges, serves nor forgets wrongly.

Three core machines run the real acceptors, proposers, store replicas, store clients,
contact, gate and control calls.  Operators send one order after the other, go on to
another machine after a second of silence, and lose answers.  The plain model is the
list of orders: once one was acknowledged, no earlier one may show.
"""

import json
import os
import random
import time

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from marblefold import wire_names
from marblefold.register_store.ballots import NO_ACCEPTED_STATE
from marblefold.registry.quorum_contact import CONTACT_SECONDS
from tests.mesh_on_loopback import CONFIGURATION
from tests.simulated_machines import OPERATOR, SLICE, World

NAMES = ("a", "b", "c")
PAIRS = [(one, other) for one in NAMES for other in NAMES if one != other]
# How long operators wait for an answer before they go on.
PATIENCE = 1.0
REGISTER = "evacuation/z"


class Order:
    """One thing that the operator wants, however often it is sent."""

    def __init__(self, value):
        self.value = value
        self.is_acknowledged = False


class CoreMachine(RuleBasedStateMachine):
    """Freezes, cuts and orders in any order."""

    def __init__(self):
        super().__init__()
        self.steady, self.urandom = time.monotonic, os.urandom
        chance = random.Random(5)
        self.world = None
        time.monotonic = lambda: self.world.now if self.world else 1000.0
        os.urandom = chance.randbytes
        self.world = World(NAMES)
        self.orders, self.sent_at, self.acknowledged = [], -1e9, -1
        self.version = self.held_version = 0
        self.reached = {}
        self.pass_time(1.0)

    def pass_time(self, seconds):
        for _ in range(round(seconds / SLICE)):
            self.world.advance(SLICE)
            self.note_reached()

    def note_reached(self):
        """Where a heartbeat may have been read now; its answer may come late."""
        for one, other in [*PAIRS, *((name, name) for name in NAMES)]:
            is_running = not self.world.machines[other].is_frozen
            if is_running and (one, other) not in self.world.cut:
                self.reached[one, other] = self.world.now

    def call(self, name, method, path, body, answered, loses_answer=False):
        """Sends a call; an answer counts while the caller still waits."""
        sent, machine = self.world.now, self.world.machines[name]

        def come_back(answer):
            if self.world.now - sent < PATIENCE and not loses_answer:
                assert answer.status in (200, 503), answer.body
                if answer.status == 200:
                    answered(answer)

        self.world.send(OPERATOR, name, lambda: machine.call(method, path, body, come_back))

    @rule(
        name=st.sampled_from(NAMES),
        value=st.sampled_from([b"on", b"off"]),
        loses_answer=st.booleans(),
    )
    @precondition(lambda self: self.may_go_on())
    def order_evacuation(self, name, value, loses_answer):
        # What was acknowledged and is wanted again is an order of its own: the
        # next one waits for it as well, or the two would have no order.
        last = self.orders[-1] if self.orders else None
        if last is None or last.value != value or last.is_acknowledged:
            self.orders.append(Order(value))
        index, self.sent_at = len(self.orders) - 1, self.world.now

        def acknowledge(_answer):
            self.orders[index].is_acknowledged = True
            self.acknowledged = max(self.acknowledged, index)

        method = "PUT" if value == b"on" else "DELETE"
        self.call(name, method, "/mesh/evacuations/z", b"", acknowledge, loses_answer)

    def may_go_on(self):
        """Orders of one operator follow each other: acknowledged, or given up."""
        waits = bool(self.orders) and not self.orders[-1].is_acknowledged
        return not waits or self.world.now - self.sent_at >= PATIENCE

    @rule(name=st.sampled_from(NAMES), loses_answer=st.booleans())
    def replace_configuration(self, name, loses_answer):
        self.version += 1
        version = self.version
        body = json.dumps({**CONFIGURATION, wire_names.CONFIG_VERSION: version}).encode()

        def acknowledge(_answer):
            self.held_version = max(self.held_version, version)

        self.call(name, "PUT", wire_names.CONFIGURATION_PATH, body, acknowledge, loses_answer)

    @rule(name=st.sampled_from(NAMES))
    @precondition(lambda self: self.held_version)
    def read_configuration(self, name):
        floor = self.held_version

        def compare(answer):
            version = json.loads(answer.body)[wire_names.CONFIG_VERSION]
            assert version >= floor, "an older one was given"

        self.call(name, "GET", wire_names.CONFIGURATION_PATH, b"", compare)

    @rule(name=st.sampled_from(NAMES))
    def freeze(self, name):
        self.world.machines[name].is_frozen = True

    @rule(name=st.sampled_from(NAMES), reads_operators_last=st.booleans())
    def thaw(self, name, reads_operators_last):
        self.world.machines[name].thaw(reads_operators_last)

    @rule(pair=st.sampled_from(PAIRS), is_one_way=st.booleans())
    def cut(self, pair, is_one_way):
        self.world.cut.add(pair)
        if not is_one_way:
            self.world.cut.add(pair[::-1])

    @rule()
    def heal(self):
        self.world.cut.clear()

    @rule(seconds=st.sampled_from([0.05, 0.2, 0.4, 1.0, 3.0]))
    def wait(self, seconds):
        self.pass_time(seconds)

    @rule(rounds=st.integers(1, 4))
    def turn(self, rounds):
        """A part of a ballot: what comes next meets it half done."""
        self.world.turn(rounds)
        self.note_reached()

    @invariant()
    def no_overtaken_order_shows(self):
        if self.acknowledged < 0:
            return
        holdings = [
            machine.acceptor.accepted_states.get(REGISTER, NO_ACCEPTED_STATE)
            for machine in self.world.machines.values()
        ]
        for holding in holdings:
            agreeing = sum(1 for other in holdings if other.ballot == holding.ballot)
            if agreeing * 2 > len(holdings):
                allowed = {order.value for order in self.orders[self.acknowledged :]}
                assert holding.value in allowed, "an overtaken order took effect"

    @invariant()
    def contact_rests_on_a_majority(self):
        for name, machine in self.world.machines.items():
            if machine.is_frozen or not machine.contact.is_held:
                continue
            lately = sum(
                1
                for other in NAMES
                if self.world.now - self.reached[name, other] < CONTACT_SECONDS + SLICE
            )
            assert lately * 2 > len(NAMES), f"{name} believes in a contact that it lost"

    def teardown(self):
        try:
            self.settle()
        finally:
            self.world.close()
            time.monotonic, os.urandom = self.steady, self.urandom

    def settle(self):
        """In calm everybody is in contact, and every order is taken at once."""
        self.world.cut.clear()
        for machine in self.world.machines.values():
            machine.is_frozen = False
        self.pass_time(4.0)
        self.no_overtaken_order_shows()
        assert all(machine.contact.is_held for machine in self.world.machines.values())
        for name in NAMES:
            self.order_evacuation(
                name, b"off" if self.orders and (self.orders[-1].value == b"on") else b"on", False
            )
            self.pass_time(0.3)
            assert self.orders[-1].is_acknowledged, f"{name} takes no orders in calm"
            assert self.held_version == 0 or self.read_back(name) >= self.held_version

    def read_back(self, name):
        answers = []
        self.call(name, "GET", wire_names.CONFIGURATION_PATH, b"", answers.append)
        self.pass_time(0.3)
        return json.loads(answers[0].body)[wire_names.CONFIG_VERSION]


CoreMachine.TestCase.settings = settings(
    max_examples=80, stateful_step_count=40, deadline=None, suppress_health_check=list(HealthCheck)
)
TestCore = CoreMachine.TestCase
