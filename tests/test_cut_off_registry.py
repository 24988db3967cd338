"""A paused or partitioned registry never acknowledges, serves or loses state wrongly.

Three core machines run the real acceptors, proposers, store reconciliation, store
clients, quorum contact, command router and control calls.  Operators send one command
after the other, retry at another machine after one second without an answer, and lose
answers.  The model is the list of commands: once one was acknowledged, no earlier one
may be in effect.
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
from tests.simulated_machines import OPERATOR, TIME_STEP_SECONDS, Cluster

NAMES = ("a", "b", "c")
PAIRS = [(one, other) for one in NAMES for other in NAMES if one != other]
# How long clients of operators wait for an answer before they retry elsewhere.
OPERATOR_TIMEOUT_SECONDS = 1.0
REGISTER = "evacuation/z"


class Command:
    """One command of the operator, however often it is sent."""

    def __init__(self, value):
        self.value = value
        self.is_acknowledged = False


class CoreMachine(RuleBasedStateMachine):
    """Pauses, partitions and commands in any order."""

    def __init__(self):
        super().__init__()
        self.real_monotonic, self.real_urandom = time.monotonic, os.urandom
        generator = random.Random(5)
        self.cluster = None
        time.monotonic = lambda: self.cluster.now if self.cluster else 1000.0
        os.urandom = generator.randbytes
        self.cluster = Cluster(NAMES)
        self.commands, self.sent_at, self.acknowledged = [], -1e9, -1
        self.version = self.acknowledged_version = 0
        self.last_reached_at = {}
        self.pass_time(1.0)

    def pass_time(self, seconds):
        for _ in range(round(seconds / TIME_STEP_SECONDS)):
            self.cluster.advance(TIME_STEP_SECONDS)
            self.record_reachability()

    def record_reachability(self):
        """Notes which machines may read a heartbeat now; its answer may arrive late."""
        for one, other in [*PAIRS, *((name, name) for name in NAMES)]:
            is_running = not self.cluster.machines[other].is_paused
            if is_running and (one, other) not in self.cluster.cut_links:
                self.last_reached_at[one, other] = self.cluster.now

    def call(self, name, method, path, body, on_answer, loses_answer=False):
        """Sends a call; an answer counts only while the caller still waits."""
        sent, machine = self.cluster.now, self.cluster.machines[name]

        def receive(answer):
            if self.cluster.now - sent < OPERATOR_TIMEOUT_SECONDS and not loses_answer:
                assert answer.status in (200, 503), answer.body
                if answer.status == 200:
                    on_answer(answer)

        self.cluster.send(OPERATOR, name, lambda: machine.call(method, path, body, receive))

    @rule(
        name=st.sampled_from(NAMES),
        value=st.sampled_from([b"on", b"off"]),
        loses_answer=st.booleans(),
    )
    @precondition(lambda self: self.may_send_next())
    def send_evacuation(self, name, value, loses_answer):
        # Repeating an acknowledged command makes a new one.  The next command waits for
        # it too, because the two would otherwise have no order.
        last = self.commands[-1] if self.commands else None
        if last is None or last.value != value or last.is_acknowledged:
            self.commands.append(Command(value))
        index, self.sent_at = len(self.commands) - 1, self.cluster.now

        def acknowledge(_answer):
            self.commands[index].is_acknowledged = True
            self.acknowledged = max(self.acknowledged, index)

        method = "PUT" if value == b"on" else "DELETE"
        self.call(name, method, "/mesh/evacuations/z", b"", acknowledge, loses_answer)

    def may_send_next(self):
        """Commands are sequential: the last one is acknowledged or was given up."""
        is_waiting = bool(self.commands) and not self.commands[-1].is_acknowledged
        return not is_waiting or self.cluster.now - self.sent_at >= OPERATOR_TIMEOUT_SECONDS

    @rule(name=st.sampled_from(NAMES), loses_answer=st.booleans())
    def replace_configuration(self, name, loses_answer):
        self.version += 1
        version = self.version
        body = json.dumps({**CONFIGURATION, wire_names.CONFIG_VERSION: version}).encode()

        def acknowledge(_answer):
            self.acknowledged_version = max(self.acknowledged_version, version)

        self.call(name, "PUT", wire_names.CONFIGURATION_PATH, body, acknowledge, loses_answer)

    @rule(name=st.sampled_from(NAMES))
    @precondition(lambda self: self.acknowledged_version)
    def read_configuration(self, name):
        floor = self.acknowledged_version

        def compare(answer):
            version = json.loads(answer.body)[wire_names.CONFIG_VERSION]
            assert version >= floor, "an older configuration was returned"

        self.call(name, "GET", wire_names.CONFIGURATION_PATH, b"", compare)

    @rule(name=st.sampled_from(NAMES))
    def pause(self, name):
        self.cluster.machines[name].is_paused = True

    @rule(name=st.sampled_from(NAMES), reads_operators_last=st.booleans())
    def resume(self, name, reads_operators_last):
        self.cluster.machines[name].resume(reads_operators_last)

    @rule(pair=st.sampled_from(PAIRS), is_one_way=st.booleans())
    def cut_link(self, pair, is_one_way):
        self.cluster.cut_links.add(pair)
        if not is_one_way:
            self.cluster.cut_links.add(pair[::-1])

    @rule()
    def heal(self):
        self.cluster.cut_links.clear()

    @rule(seconds=st.sampled_from([0.05, 0.2, 0.4, 1.0, 3.0]))
    def wait(self, seconds):
        self.pass_time(seconds)

    @rule(rounds=st.integers(1, 4))
    def run_rounds(self, rounds):
        """Runs a part of a ballot, so that the next rule meets it half done."""
        self.cluster.run_rounds(rounds)
        self.record_reachability()

    @invariant()
    def no_superseded_command_is_in_effect(self):
        if self.acknowledged < 0:
            return
        states = [
            machine.acceptor.accepted_states.get(REGISTER, NO_ACCEPTED_STATE)
            for machine in self.cluster.machines.values()
        ]
        for state in states:
            agreeing = sum(1 for other in states if other.ballot == state.ballot)
            if agreeing * 2 > len(states):
                allowed = {command.value for command in self.commands[self.acknowledged :]}
                assert state.value in allowed, "a superseded command took effect"

    @invariant()
    def contact_requires_a_majority(self):
        for name, machine in self.cluster.machines.items():
            if machine.is_paused or not machine.contact.is_held:
                continue
            recent = sum(
                1
                for other in NAMES
                if self.cluster.now - self.last_reached_at[name, other]
                < CONTACT_SECONDS + TIME_STEP_SECONDS
            )
            assert recent * 2 > len(NAMES), f"{name} reports a contact that it has lost"

    def teardown(self):
        try:
            self.check_without_faults()
        finally:
            self.cluster.close()
            time.monotonic, os.urandom = self.real_monotonic, self.real_urandom

    def check_without_faults(self):
        """Without faults all machines have contact and acknowledge every command at once."""
        self.cluster.cut_links.clear()
        for machine in self.cluster.machines.values():
            machine.is_paused = False
        self.pass_time(4.0)
        self.no_superseded_command_is_in_effect()
        assert all(machine.contact.is_held for machine in self.cluster.machines.values())
        for name in NAMES:
            self.send_evacuation(
                name,
                b"off" if self.commands and (self.commands[-1].value == b"on") else b"on",
                False,
            )
            self.pass_time(0.3)
            assert self.commands[-1].is_acknowledged, (
                f"{name} acknowledges no command without faults"
            )
            assert (
                self.acknowledged_version == 0 or self.read_back(name) >= self.acknowledged_version
            )

    def read_back(self, name):
        answers = []
        self.call(name, "GET", wire_names.CONFIGURATION_PATH, b"", answers.append)
        self.pass_time(0.3)
        return json.loads(answers[0].body)[wire_names.CONFIG_VERSION]


CoreMachine.TestCase.settings = settings(
    max_examples=80, stateful_step_count=40, deadline=None, suppress_health_check=list(HealthCheck)
)
TestCore = CoreMachine.TestCase
