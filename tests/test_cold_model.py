"""Heartbeats, probes, evacuations and restarts in any order, against the target's own clock.

The model knows when the target is cold; the guard knows what reaches it, late or
never.  Whatever it knows, no second of a cold time may hold more than the bound.
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
        # Heartbeats on their way, in the order in which they were made.
        self.on_their_way = []
        self.asked_probes = []
        self.note_probes()

    def teardown(self):
        self.path.close()

    @property
    def now(self):
        return self.path.stage.now

    @property
    def cold_left(self):
        until = max((until for _since, until in self.cold_times), default=0.0)
        return max(0.0, until - self.now)

    def note_probes(self):
        """Keeps when each probe was asked."""
        take = self.path.guard.cold.on_probe_needed

        def note():
            known = self.path.probes
            take()
            if self.path.probes > known:
                self.asked_probes.append(self.now)

        self.path.guard.cold.on_probe_needed = note

    def go_cold(self, is_late):
        """As targets do: a heartbeat says so in that moment."""
        # What was written in the same moment was written to a warm target.
        self.path.spend(0.001)
        self.cold_times.append((self.now, self.now + COLD_SECONDS))
        self.make_beat(is_late)

    @rule(count=st.sampled_from([1, 15, 45, 45]), seconds=st.sampled_from([0.0, 0.05, 0.3]))
    def ask(self, count, seconds):
        self.path.ask(count)
        self.path.spend(seconds)

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0]))
    def wait(self, seconds):
        self.path.spend(seconds)

    @rule(is_late=st.booleans())
    def make_beat(self, is_late):
        beat = self.path.make_beat(self.cold_left)
        if is_late:
            self.on_their_way.append(beat)
        else:
            self.path.deliver(beat)

    @precondition(lambda self: self.on_their_way)
    @rule(choice=st.integers(0, 20))
    def deliver(self, choice):
        self.path.deliver(self.on_their_way.pop(choice % len(self.on_their_way)))

    @precondition(lambda self: self.asked_probes)
    @rule(choice=st.integers(0, 20))
    def answer_probe(self, choice):
        asked = self.asked_probes.pop(choice % len(self.asked_probes))
        self.path.answer_health(self.cold_left, asked)

    @rule(is_late=st.booleans())
    def evacuate(self, is_late):
        """The proxy hears that its zone is taken back."""
        self.go_cold(is_late)
        self.path.guard.cold.mark_uncertain(self.now, "zone taken back")

    @rule(is_late=st.booleans(), seconds=st.floats(0.0, 2.0))
    def evacuate_unheard(self, is_late, seconds):
        """The proxy is cut off; only its peers know that the zone is emptied."""
        self.path.spend(1.2)
        self.go_cold(is_late)
        self.path.spend(seconds)

    @rule(knows_configuration=st.booleans())
    def restart(self, knows_configuration):
        self.path.restart_proxy()
        self.note_probes()
        self.asked_probes.clear()
        # Those on their way went to the process before; one of the new life may still be late.
        self.on_their_way.clear()
        if knows_configuration:
            self.path.configure()
        self.make_beat(False)

    @invariant()
    def no_second_of_a_cold_time_holds_more_than_its_bound(self):
        assert self.path.stage.faults == []
        for since, until in self.cold_times:
            assert self.path.most_in_a_second(since, until) <= ALLOWED


TestColdTarget = ColdTarget.TestCase
TestColdTarget.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, phases=(Phase.reuse, Phase.generate)
)
