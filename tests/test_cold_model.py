"""Heartbeats, probes, evacuations and restarts in any order against a model of the target.

The model knows when the target is cold; the guard only knows what reaches it, late or
not at all.  No second of a cold time may hold more requests than the bound.
"""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tests.simulated_cold import ALLOWED, COLD_START, ColdPath

COLD_SECONDS = COLD_START.total_seconds()


class ColdTarget(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.path = ColdPath()
        self.path.warm_up()
        self.cold_times = []
        # Delayed heartbeats in the order in which they were created.
        self.delayed_heartbeats = []
        self.probe_times = []
        self.record_probes()

    def teardown(self):
        self.path.close()

    @property
    def now(self):
        return self.path.simulation.now

    @property
    def cold_remaining(self):
        until = max((until for _since, until in self.cold_times), default=0.0)
        return max(0.0, until - self.now)

    def record_probes(self):
        """Records when each probe is sent."""
        on_probe_needed = self.path.guard.cold.on_probe_needed

        def record():
            known = self.path.probes
            on_probe_needed()
            if self.path.probes > known:
                self.probe_times.append(self.now)

        self.path.guard.cold.on_probe_needed = record

    def go_cold(self, is_late):
        """The target goes cold and sends a heartbeat at once, as targets do."""
        # Requests written at the same moment were written to a warm target.
        self.path.advance(0.001)
        self.cold_times.append((self.now, self.now + COLD_SECONDS))
        self.make_heartbeat(is_late)

    @rule(count=st.sampled_from([1, 15, 45, 45]), seconds=st.sampled_from([0.0, 0.05, 0.3]))
    def send_requests(self, count, seconds):
        self.path.send_requests(count)
        self.path.advance(seconds)

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0]))
    def wait(self, seconds):
        self.path.advance(seconds)

    @rule(is_late=st.booleans())
    def make_heartbeat(self, is_late):
        heartbeat = self.path.make_heartbeat(self.cold_remaining)
        if is_late:
            self.delayed_heartbeats.append(heartbeat)
        else:
            self.path.deliver(heartbeat)

    @precondition(lambda self: self.delayed_heartbeats)
    @rule(choice=st.integers(0, 20))
    def deliver(self, choice):
        self.path.deliver(self.delayed_heartbeats.pop(choice % len(self.delayed_heartbeats)))

    @precondition(lambda self: self.probe_times)
    @rule(choice=st.integers(0, 20))
    def answer_probe(self, choice):
        requested_at = self.probe_times.pop(choice % len(self.probe_times))
        self.path.answer_health(self.cold_remaining, requested_at)

    @rule(is_late=st.booleans())
    def evacuate(self, is_late):
        """The proxy learns that the evacuation of its zone has ended."""
        self.go_cold(is_late)
        self.path.guard.cold.mark_uncertain(self.now, "zone taken back")

    @rule(is_late=st.booleans(), seconds=st.floats(0.0, 2.0))
    def evacuate_while_partitioned(self, is_late, seconds):
        """The proxy is partitioned; only its peers know that the zone is evacuated."""
        self.path.advance(1.2)
        self.go_cold(is_late)
        self.path.advance(seconds)

    @rule(knows_configuration=st.booleans())
    def restart(self, knows_configuration):
        self.path.restart_proxy()
        self.record_probes()
        self.probe_times.clear()
        # Delayed heartbeats went to the previous process; one to the new process may be late too.
        self.delayed_heartbeats.clear()
        if knows_configuration:
            self.path.configure()
        self.make_heartbeat(False)

    @invariant()
    def no_second_of_a_cold_time_holds_more_than_its_bound(self):
        assert self.path.simulation.faults == []
        for since, until in self.cold_times:
            assert self.path.max_in_a_second(since, until) <= ALLOWED


TestColdTarget = ColdTarget.TestCase
TestColdTarget.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, phases=(Phase.reuse, Phase.generate)
)
