"""Failure detection in a simulated network that loses datagrams and isolates nodes."""

import random

from marblefold.membership.members import Liveness, Member
from marblefold.membership.prober import Prober

SEEDS = ["n0", "n1"]


class SimulatedNetwork:
    """Nodes that tick ten times a second; a message takes one tick."""

    def __init__(self, count, loss=0.0, seed=1):
        self.random = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.isolated = set()
        self.changes = []
        self.nodes = {}
        self.in_flight = []
        for index in range(count):
            self.start(f"n{index}", 1000)

    def start(self, address, generation):
        own = Member(address, address, "proxy", "hall", generation, 0, Liveness.ALIVE)
        self.nodes[address] = Prober(
            own,
            lambda: SEEDS,
            lambda member, observer=address: self.changes.append((self.now, observer, member)),
            seed=len(self.nodes),
        )

    def run(self, seconds):
        for _ in range(int(seconds * 10)):
            self.now += 0.1
            arriving, self.in_flight = self.in_flight, []
            for address, node in list(self.nodes.items()):
                self.send(address, node.tick(self.now))
            for sender, message in arriving:
                if message.peer in self.isolated or sender in self.isolated:
                    continue
                if message.peer in self.nodes and self.random.random() >= self.loss:
                    received = message._replace(peer=sender)
                    self.send(message.peer, self.nodes[message.peer].receive(received, self.now))

    def send(self, sender, messages):
        self.in_flight.extend((sender, message) for message in messages)

    def liveness_seen_by(self, observer, address):
        member = self.nodes[observer].table.find(address)
        return None if member is None else member.liveness


def test_all_find_each_other_from_the_seeds():
    network = SimulatedNetwork(10)
    network.run(8)
    for observer in network.nodes:
        assert len(network.nodes[observer].table) == 9


def test_lost_datagrams_alone_remove_nobody():
    network = SimulatedNetwork(8, loss=0.1)
    network.run(60)
    gone = [change for change in network.changes if change[2].liveness is Liveness.GONE]
    assert gone == [], gone


def test_an_isolated_node_is_suspected_then_gone_and_comes_back():
    network = SimulatedNetwork(8)
    network.run(8)
    network.isolated.add("n5")
    isolated_at = network.now
    network.run(5)
    others = [node for node in network.nodes if node != "n5"]
    assert all(network.liveness_seen_by(observer, "n5") is Liveness.GONE for observer in others)
    first = {}
    for at, observer, member in network.changes:
        if member.node == "n5" and at > isolated_at:
            first.setdefault(observer, member.liveness)
    # A node is suspected, by the observer itself or by another one, before it is removed.
    assert Liveness.SUSPECT in first.values()
    network.isolated.clear()
    network.run(6)
    assert all(network.liveness_seen_by(observer, "n5") is Liveness.ALIVE for observer in others)
    assert all(network.liveness_seen_by("n5", address) is Liveness.ALIVE for address in others)


def test_a_new_generation_that_started_with_a_clock_set_back_is_accepted():
    network = SimulatedNetwork(6)
    network.run(8)
    del network.nodes["n4"]
    network.run(6)
    assert network.liveness_seen_by("n1", "n4") is Liveness.GONE
    network.start("n4", 10)
    network.run(8)
    assert network.liveness_seen_by("n1", "n4") is Liveness.ALIVE


def test_a_suspect_refutes_with_a_higher_incarnation():
    network = SimulatedNetwork(3)
    network.run(3)
    node = network.nodes["n2"]
    update = node.table.own._replace(liveness=Liveness.SUSPECT)
    node.table.merge(update, network.now)
    assert node.table.own.precedence > update.precedence
    assert node.table.own.liveness is Liveness.ALIVE


def test_many_suspects_do_not_make_a_node_send_to_all_of_them():
    network = SimulatedNetwork(60)
    network.run(25)
    for index in range(20, 60):
        network.isolated.add(f"n{index}")
    sent = dict.fromkeys(network.nodes, 0)
    send = network.send
    network.send = lambda sender, messages: (
        sent.__setitem__(sender, sent[sender] + len(messages)),
        send(sender, messages),
    )
    network.run(8)
    remaining = [f"n{index}" for index in range(20)]
    # With forty isolated nodes a node sends some tens of messages a second, not several
    # to each of them.
    assert max(sent[address] for address in remaining) / 8 < 25
    # In the end no isolated node is considered alive.
    network.run(12)
    assert all(
        network.liveness_seen_by(observer, f"n{index}") is not Liveness.ALIVE
        for observer in remaining
        for index in range(20, 60)
    )
