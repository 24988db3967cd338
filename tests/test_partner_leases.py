"""No node carries what a partner forbade; all agree once they are in touch."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from marblefold.leases.held_leases import HeldLeases
from tests.simulated_leases import SimulatedNode, SimulatedRegistry, World, digest_of

PREFIXES = ("/a/", "/b/")
NODES, REGISTRIES = 4, 2
RATES = st.floats(0.98, 1.02)


class PartnerLeases(RuleBasedStateMachine):
    """Messages are held, delivered in any order, or lost for good."""

    @initialize(rates=st.lists(RATES, min_size=NODES + REGISTRIES, max_size=NODES + REGISTRIES))
    def begin(self, rates):
        self.world = World()
        self.nodes = [SimulatedNode(self.world, rate) for rate in rates[:NODES]]
        self.registries = [SimulatedRegistry(self.world, rate) for rate in rates[NODES:]]
        self.messages = []

    @rule(prefixes=st.sets(st.sampled_from(PREFIXES)), rate=RATES)
    def change(self, prefixes, rate):
        self.world.choose(prefixes, rate)

    @rule(seconds=st.floats(0.0, 2.0))
    def turn(self, seconds):
        self.world.turn(seconds)

    @rule(index=st.integers(0, REGISTRIES - 1), part=st.sampled_from(("begin", "end", "both")))
    def read(self, index, part):
        registry = self.registries[index]
        if part in ("begin", "both"):
            registry.begin_read()
        if part in ("end", "both"):
            registry.end_read()

    @rule(index=st.integers(0, NODES - 1), which=st.integers(0, REGISTRIES - 1))
    def ask(self, index, which):
        node, registry = self.nodes[index], self.registries[which]
        asking, lease_client = node.ask(), node.lease_client

        def answer():
            granted = registry.granter.grant(asking)
            self.messages.append(lambda: lease_client.apply_grant(granted))

        self.messages.append(answer)

    @rule(index=st.integers(0, NODES - 1), which=st.integers(0, REGISTRIES - 1))
    def feed(self, index, which):
        node, duty = self.nodes[index], self.registries[which].duty
        number, value = duty.number, duty.value
        if number:
            self.messages.append(lambda: node.hear(number, value))

    @rule(place=st.integers(0, 50), is_lost=st.booleans())
    def deliver(self, place, is_lost):
        if self.messages:
            message = self.messages.pop(place % len(self.messages))
            if not is_lost:
                message()

    @rule(index=st.integers(0, NODES - 1), prefix=st.sampled_from(PREFIXES))
    def enter(self, index, prefix):
        self.nodes[index].enter(prefix)

    @rule(index=st.integers(0, NODES - 1))
    def leave(self, index):
        self.nodes[index].leave()

    @rule(index=st.integers(0, NODES - 1))
    def restart_node(self, index):
        self.nodes[index].restart()

    @rule(index=st.integers(0, REGISTRIES - 1), is_cut=st.booleans())
    def disturb_registry(self, index, is_cut):
        self.registries[index].is_cut = is_cut
        if not is_cut:
            self.registries[index].restart()

    @invariant()
    def nothing_forbidden_was_carried(self):
        assert not getattr(self, "world", None) or self.world.forbidden_carried == 0

    def teardown(self):
        if not hasattr(self, "world"):
            return
        # In touch again: every node holds the same routes and may use them.
        for registry in self.registries:
            registry.is_cut = False
            registry.begin_read()
            registry.end_read()
        for node in self.nodes:
            duty = self.registries[0].duty
            if duty.number:
                node.hear(duty.number, duty.value)
                node.lease_client.apply_grant(self.registries[0].granter.grant(node.ask()))
                assert node.view.partners.digest == digest_of(self.world)
                assert node.view.leases.may_use_partners(node.clock)
        for registry in self.registries:
            registry.drop_read()


TestPartnerLeases = PartnerLeases.TestCase
TestPartnerLeases.settings = settings(max_examples=60, stateful_step_count=60, deadline=None)


def carry_over_a_withdrawal(is_cut_off):
    """A request comes in, the partner withdraws, and then it would leave."""
    world = World()
    node, registry = SimulatedNode(world, 1.0), SimulatedRegistry(world, 1.0)
    world.choose({"/a/"})
    registry.begin_read()
    registry.end_read()
    node.hear(world.number, world.value)
    node.lease_client.apply_grant(registry.granter.grant(node.ask()))
    node.enter("/a/")
    node.enter("/b/")
    assert len(node.entered) == 1
    world.choose(set())
    world.turn(4.0)
    assert world.acknowledged == 2
    if not is_cut_off:
        node.hear(world.number, world.value)
    if is_cut_off:
        node.enter("/a/")
    node.leave()
    return world


def test_a_withdrawal_binds_at_the_far_end_and_without_any_news():
    for is_cut_off in (False, True):
        world = carry_over_a_withdrawal(is_cut_off)
        assert world.forbidden_carried == 0 and world.carried == 0


def test_the_simulation_shows_what_the_lease_is_for(monkeypatch):
    monkeypatch.setattr(HeldLeases, "may_use_partners", lambda self, now: True)
    assert carry_over_a_withdrawal(True).forbidden_carried == 2


def test_the_simulation_shows_what_the_far_end_check_is_for(monkeypatch):
    monkeypatch.setattr(
        "marblefold.gateway.partner_hops.PartnerHops.is_still_allowed", lambda *_args: True
    )
    assert carry_over_a_withdrawal(False).forbidden_carried == 1
    assert carry_over_a_withdrawal(True).forbidden_carried == 1
