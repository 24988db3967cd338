"""Tests the breaker against a slow reference model that keeps all calls."""

import math

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marblefold.circuit_breaker.breaker import Breaker, BreakerConfig, BreakerState

CONFIG = BreakerConfig(min_successes=5, min_in_flight=3, window=8, calls_per_probe=3)


class ReferenceBreaker:
    """Recomputes the state from lists whenever it is asked for."""

    def __init__(self):
        self.successes = []
        self.in_flight_calls = []

    def is_open(self, now):
        if (
            len(self.successes) < CONFIG.min_successes
            or len(self.in_flight_calls) < CONFIG.min_in_flight
        ):
            return False
        window = self.successes[-CONFIG.window :]
        mean = sum(window) / len(window)
        deviation = math.sqrt(sum((value - mean) ** 2 for value in window) / len(window))
        ages = [
            (now - started) / latency_target
            for started, latency_target, _permit in self.in_flight_calls[1:]
        ]
        margin = sum(ages) / len(ages) - (mean + CONFIG.deviations * deviation)
        # Running sums may differ from these in the last digits.
        return None if abs(margin) < 1e-6 else margin > 0


class BreakerMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.breaker = Breaker(CONFIG)
        self.reference = ReferenceBreaker()
        self.consecutive_refusals = 0

    @rule(seconds=st.floats(0.0, 2.0))
    def wait(self, seconds):
        self.now += seconds

    @rule(latency_target=st.sampled_from([0.1, 0.5, 1.0]))
    def begin(self, latency_target):
        permit = self.breaker.begin(self.now, latency_target, "call")
        self.reference.in_flight_calls.append((self.now, latency_target, permit))

    @rule(index=st.integers(0, 20), success=st.booleans())
    def end(self, index, success):
        if not self.reference.in_flight_calls:
            return
        started, latency_target, permit = self.reference.in_flight_calls.pop(
            index % len(self.reference.in_flight_calls)
        )
        self.breaker.end(permit, self.now, success)
        self.breaker.end(permit, self.now, success)
        if success:
            self.reference.successes.append((self.now - started) / latency_target)

    @rule()
    def admit(self):
        # Calls that never end are dropped after the maximum time.
        self.reference.in_flight_calls = [
            entry
            for entry in self.reference.in_flight_calls
            if self.now - entry[0] <= CONFIG.max_in_flight_seconds
        ]
        expected = self.reference.is_open(self.now)
        was_open = self.breaker.state is BreakerState.OPEN
        admission = self.breaker.admit(self.now)
        if expected is None:
            self.consecutive_refusals = 0
            return
        assert (self.breaker.state is BreakerState.OPEN) == expected
        if not expected:
            assert admission.allowed
        if admission.allowed or not was_open:
            self.consecutive_refusals = 0
        if not admission.allowed:
            self.consecutive_refusals += 1
            assert admission.retry_after > 0
            # Probes are admitted even while the circuit is open.
            assert self.consecutive_refusals < CONFIG.calls_per_probe

    @invariant()
    def counts_calls_in_flight(self):
        assert self.breaker.in_flight >= len(self.reference.in_flight_calls)


BreakerMachine.TestCase.settings = settings(max_examples=150, deadline=None)
TestBreaker = BreakerMachine.TestCase


def test_stuck_calls_open_the_circuit_and_their_end_closes_it():
    breaker = Breaker()
    now = 0.0
    for _ in range(200):
        breaker.end(breaker.begin(now, 0.4, "normal"), now + 0.1, True)
        now += 0.1
    stuck = [breaker.begin(now, 0.4, "stuck") for _ in range(20)]
    assert breaker.admit(now + 0.1).allowed
    answers = [breaker.admit(now + 5.0).allowed for _ in range(20)]
    assert breaker.state is BreakerState.OPEN
    assert answers.count(True) == 4
    for permit in stuck:
        breaker.end(permit, now + 5.0, False)
    assert breaker.admit(now + 5.1).allowed and breaker.state is BreakerState.CLOSED


def test_a_single_stuck_call_does_not_open_the_circuit():
    breaker = Breaker()
    for step in range(200):
        breaker.end(breaker.begin(step, 1.0, "normal"), step + 0.1, True)
    breaker.begin(0.0, 1.0, "poisoned")
    for _ in range(6):
        breaker.begin(50.0, 1.0, "fresh")
    assert breaker.admit(50.05).allowed and breaker.state is BreakerState.CLOSED
