"""Probing in a simulated network that loses datagrams and cuts nodes off."""

import random

from marblefold.membership.members import Liveness, Member
from marblefold.membership.prober import Prober

SEEDS = ["n0", "n1"]


class Net:
    """Nodes that tick every tenth of a second; messages take one tick."""

    def __init__(self, count, loss=0.0, seed=1):
        self.random = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.cut = set()
        self.changes = []
        self.nodes = {}
        self.flying = []
        for index in range(count):
            self.start(f"n{index}", 1000)

    def start(self, address, generation):
        own = Member(address, address, "proxy", "hall", generation, 0, Liveness.ALIVE)
        self.nodes[address] = Prober(
            own,
            lambda: SEEDS,
            lambda member, by=address: self.changes.append((self.now, by, member)),
            seed=len(self.nodes),
        )

    def run(self, seconds):
        for _ in range(int(seconds * 10)):
            self.now += 0.1
            arriving, self.flying = self.flying, []
            for address, node in list(self.nodes.items()):
                self.send(address, node.tick(self.now))
            for sender, message in arriving:
                if message.peer in self.cut or sender in self.cut:
                    continue
                if message.peer in self.nodes and self.random.random() >= self.loss:
                    came = message._replace(peer=sender)
                    self.send(message.peer, self.nodes[message.peer].receive(came, self.now))

    def send(self, sender, messages):
        self.flying.extend((sender, message) for message in messages)

    def seen(self, by, of):
        member = self.nodes[by].table.find(of)
        return None if member is None else member.liveness


def test_all_find_each_other_from_the_seeds():
    net = Net(10)
    net.run(8)
    for by in net.nodes:
        assert len(net.nodes[by].table) == 9


def test_lost_datagrams_alone_remove_nobody():
    net = Net(8, loss=0.1)
    net.run(60)
    gone = [change for change in net.changes if change[2].liveness is Liveness.GONE]
    assert gone == [], gone


def test_a_node_cut_off_is_suspected_then_gone_and_comes_back():
    net = Net(8)
    net.run(8)
    net.cut.add("n5")
    began = net.now
    net.run(5)
    others = [node for node in net.nodes if node != "n5"]
    assert all(net.seen(by, "n5") is Liveness.GONE for by in others)
    first = {}
    for at, by, member in net.changes:
        if member.node == "n5" and at > began:
            first.setdefault(by, member.liveness)
    # Nobody removed it without having suspected it, or heard so, before.
    assert Liveness.SUSPECT in first.values()
    net.cut.clear()
    net.run(6)
    assert all(net.seen(by, "n5") is Liveness.ALIVE for by in others)
    assert all(net.seen("n5", of) is Liveness.ALIVE for of in others)


def test_a_new_life_that_began_with_a_clock_set_back_is_believed():
    net = Net(6)
    net.run(8)
    del net.nodes["n4"]
    net.run(6)
    assert net.seen("n1", "n4") is Liveness.GONE
    net.start("n4", 10)
    net.run(8)
    assert net.seen("n1", "n4") is Liveness.ALIVE


def test_a_suspect_refutes_with_a_higher_incarnation():
    net = Net(3)
    net.run(3)
    node = net.nodes["n2"]
    word = node.table.own._replace(liveness=Liveness.SUSPECT)
    node.table.merge(word, net.now)
    assert node.table.own.precedence > word.precedence
    assert node.table.own.liveness is Liveness.ALIVE


def test_many_suspects_do_not_make_a_node_send_to_all_of_them():
    net = Net(60)
    net.run(25)
    for index in range(20, 60):
        net.cut.add(f"n{index}")
    sent = dict.fromkeys(net.nodes, 0)
    send = net.send
    net.send = lambda sender, messages: (
        sent.__setitem__(sender, sent[sender] + len(messages)),
        send(sender, messages),
    )
    net.run(8)
    left = [f"n{index}" for index in range(20)]
    # Forty are dark: a node sends some tens a second, not several to each of them.
    assert max(sent[address] for address in left) / 8 < 25
    # And still nobody of the dark is thought to live, in the end.
    net.run(12)
    assert all(
        net.seen(by, f"n{index}") is not Liveness.ALIVE for by in left for index in range(20, 60)
    )
