"""Tests that no node forwards what a partner withdrew, and that reconnected nodes agree."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from marblefold.leases.held_leases import HeldLeases
from tests.simulated_leases import SimulatedNode, SimulatedRegistry, World, compute_digest

PREFIXES = ("/a/", "/b/")
NODES, REGISTRIES = 4, 2
RATES = st.floats(0.98, 1.02)


class PartnerLeases(RuleBasedStateMachine):
    """Messages are delayed, delivered in any order, or lost."""

    @initialize(rates=st.lists(RATES, min_size=NODES + REGISTRIES, max_size=NODES + REGISTRIES))
    def begin(self, rates):
        self.world = World()
        self.nodes = [SimulatedNode(self.world, rate) for rate in rates[:NODES]]
        self.registries = [SimulatedRegistry(self.world, rate) for rate in rates[NODES:]]
        self.messages = []

    @rule(prefixes=st.sets(st.sampled_from(PREFIXES)), rate=RATES)
    def change(self, prefixes, rate):
        self.world.change_exports(prefixes, rate)

    @rule(seconds=st.floats(0.0, 2.0))
    def advance_clock(self, seconds):
        self.world.advance_clock(seconds)

    @rule(index=st.integers(0, REGISTRIES - 1), part=st.sampled_from(("begin", "end", "both")))
    def read(self, index, part):
        registry = self.registries[index]
        if part in ("begin", "both"):
            registry.begin_read()
        if part in ("end", "both"):
            registry.end_read()

    @rule(index=st.integers(0, NODES - 1), which=st.integers(0, REGISTRIES - 1))
    def request_lease(self, index, which):
        node, registry = self.nodes[index], self.registries[which]
        request, lease_client = node.request_lease(), node.lease_client

        def answer():
            granted = registry.granter.grant(request)
            self.messages.append(lambda: lease_client.apply_grant(granted))

        self.messages.append(answer)

    @rule(index=st.integers(0, NODES - 1), which=st.integers(0, REGISTRIES - 1))
    def send_document(self, index, which):
        node, coordinator = self.nodes[index], self.registries[which].coordinator
        number, value = coordinator.number, coordinator.value
        if number:
            self.messages.append(lambda: node.receive_document(number, value))

    @rule(position=st.integers(0, 50), is_lost=st.booleans())
    def deliver(self, position, is_lost):
        if self.messages:
            message = self.messages.pop(position % len(self.messages))
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
    def nothing_withdrawn_was_forwarded(self):
        assert not getattr(self, "world", None) or self.world.withdrawn_forwarded == 0

    def teardown(self):
        if not hasattr(self, "world"):
            return
        # After reconnection every node has the same routes and may use them.
        for registry in self.registries:
            registry.is_cut = False
            registry.begin_read()
            registry.end_read()
        for node in self.nodes:
            coordinator = self.registries[0].coordinator
            if coordinator.number:
                node.receive_document(coordinator.number, coordinator.value)
                node.lease_client.apply_grant(
                    self.registries[0].granter.grant(node.request_lease())
                )
                assert node.view.partners.digest == compute_digest(self.world)
                assert node.view.leases.may_use_partners(node.clock)
        for registry in self.registries:
            registry.drop_read()


TestPartnerLeases = PartnerLeases.TestCase
TestPartnerLeases.settings = settings(max_examples=60, stateful_step_count=60, deadline=None)


def forward_after_withdrawal(is_cut_off):
    """A request enters, the partner withdraws the route, and then the request would leave."""
    world = World()
    node, registry = SimulatedNode(world, 1.0), SimulatedRegistry(world, 1.0)
    world.change_exports({"/a/"})
    registry.begin_read()
    registry.end_read()
    node.receive_document(world.number, world.value)
    node.lease_client.apply_grant(registry.granter.grant(node.request_lease()))
    node.enter("/a/")
    node.enter("/b/")
    assert len(node.entered) == 1
    world.change_exports(set())
    world.advance_clock(4.0)
    assert world.acknowledged == 2
    if not is_cut_off:
        node.receive_document(world.number, world.value)
    if is_cut_off:
        node.enter("/a/")
    node.leave()
    return world


def test_a_withdrawal_is_enforced_at_the_last_node_and_without_an_update():
    for is_cut_off in (False, True):
        world = forward_after_withdrawal(is_cut_off)
        assert world.withdrawn_forwarded == 0 and world.forwarded == 0


def test_without_the_lease_the_simulation_forwards_withdrawn_requests(monkeypatch):
    monkeypatch.setattr(HeldLeases, "may_use_partners", lambda self, now: True)
    assert forward_after_withdrawal(True).withdrawn_forwarded == 2


def test_without_the_check_before_leaving_the_simulation_forwards_withdrawn_requests(monkeypatch):
    monkeypatch.setattr(
        "marblefold.gateway.partner_hops.PartnerHops.is_still_allowed", lambda *_args: True
    )
    assert forward_after_withdrawal(False).withdrawn_forwarded == 1
    assert forward_after_withdrawal(True).withdrawn_forwarded == 1
