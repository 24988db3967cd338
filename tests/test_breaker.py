"""The breaker against a slow plain model that keeps everything."""

import math

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marblefold.circuit_breaker.breaker import Breaker, BreakerConfig, BreakerState

CONFIG = BreakerConfig(min_successes=5, min_in_flight=3, window=8, calls_per_probe=3)


class PlainBreaker:
    """Recomputes all from lists at each question."""

    def __init__(self):
        self.successes = []
        self.flying = []

    def is_open(self, now):
        if len(self.successes) < CONFIG.min_successes or len(self.flying) < CONFIG.min_in_flight:
            return False
        window = self.successes[-CONFIG.window :]
        mean = sum(window) / len(window)
        deviation = math.sqrt(sum((value - mean) ** 2 for value in window) / len(window))
        ages = [
            (now - started) / latency_target for started, latency_target, _permit in self.flying[1:]
        ]
        margin = sum(ages) / len(ages) - (mean + CONFIG.deviations * deviation)
        # Sums kept as they go may differ from these in the last digits.
        return None if abs(margin) < 1e-6 else margin > 0


class BreakerMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.breaker = Breaker(CONFIG)
        self.plain = PlainBreaker()
        self.refused_in_a_row = 0

    @rule(seconds=st.floats(0.0, 2.0))
    def wait(self, seconds):
        self.now += seconds

    @rule(latency_target=st.sampled_from([0.1, 0.5, 1.0]))
    def begin(self, latency_target):
        permit = self.breaker.begin(self.now, latency_target, "call")
        self.plain.flying.append((self.now, latency_target, permit))

    @rule(index=st.integers(0, 20), success=st.booleans())
    def end(self, index, success):
        if not self.plain.flying:
            return
        started, latency_target, permit = self.plain.flying.pop(index % len(self.plain.flying))
        self.breaker.end(permit, self.now, success)
        self.breaker.end(permit, self.now, success)
        if success:
            self.plain.successes.append((self.now - started) / latency_target)

    @rule()
    def ask(self):
        # What nobody returns is forgotten after the longest time.
        self.plain.flying = [
            entry
            for entry in self.plain.flying
            if self.now - entry[0] <= CONFIG.max_in_flight_seconds
        ]
        expected = self.plain.is_open(self.now)
        was_open = self.breaker.state is BreakerState.OPEN
        admission = self.breaker.admit(self.now)
        if expected is None:
            self.refused_in_a_row = 0
            return
        assert (self.breaker.state is BreakerState.OPEN) == expected
        if not expected:
            assert admission.allowed
        if admission.allowed or not was_open:
            self.refused_in_a_row = 0
        if not admission.allowed:
            self.refused_in_a_row += 1
            assert admission.retry_after > 0
            # Some calls pass even while it is open.
            assert self.refused_in_a_row < CONFIG.calls_per_probe

    @invariant()
    def counts_what_flies(self):
        assert self.breaker.in_flight >= len(self.plain.flying)


BreakerMachine.TestCase.settings = settings(max_examples=150, deadline=None)
TestBreaker = BreakerMachine.TestCase


def test_a_black_hole_opens_the_circuit_and_its_end_closes_it():
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


def test_one_poisoned_call_alone_does_not_open_it():
    breaker = Breaker()
    for step in range(200):
        breaker.end(breaker.begin(step, 1.0, "normal"), step + 0.1, True)
    breaker.begin(0.0, 1.0, "poisoned")
    for _ in range(6):
        breaker.begin(50.0, 1.0, "fresh")
    assert breaker.admit(50.05).allowed and breaker.state is BreakerState.CLOSED
