"""Hops between two proxies against a plain model of who was asked what.

Both ends are the programs' own; only the bytes between them are moved by the
test: late, in any pieces, cut anywhere, to one life of the peer or the next.
"""

from types import SimpleNamespace
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marblefold.errors import MeshError
from marblefold.inner_protocol import peer_connection
from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.messages import kinds
from marblefold.inner_protocol.peer_book import PeerBook
from marblefold.inner_protocol.peer_connection import PeerConnection
from marblefold.request_path.hop_sender import HopSender
from marblefold.request_path.outcome import HopOutcome
from tests.simulated_connections import InMemoryTransport, Simulation
from tests.simulated_peer import Body, Far

CHOICE = st.integers(0, 10_000)
PEER = "10.0.0.1:7600"


class PeerModel(RuleBasedStateMachine):
    last_number = 2

    def __init__(self):
        super().__init__()
        self.patch = mock.patch.object(peer_connection, "LAST_NUMBER", self.last_number)
        self.patch.start()
        self.stage = Simulation()
        self.stage.loop.connector = self.connect
        self.links, self.hops, self.asked, self.read = [], [], {}, {}
        self.is_dying = False
        self.is_down, self.said_not, self.begun = False, set(), {}
        self.far = Far(self)
        self.book = PeerBook(SimpleNamespace(on_lost=lambda _connection: None))
        self.sender = HopSender(self.book, lambda _peer: None)
        self.looking = self.stage.start(self.sender.run())

    def teardown(self):
        # In the end everything is delivered, and nothing may be left behind.
        for _round in range(12):
            for link in list(self.links):
                self.move(link, 0, 10_000)
                self.move(link, 1, 10_000)
        try:
            self.look_for_what_is_left_behind()
        finally:
            self.patch.stop()
            self.stage.close()

    def look_for_what_is_left_behind(self):
        """Everything was delivered: no end may still work on what the other gave up."""
        self.check()
        over = {name for name, task in self.asked.items() if task.done()}
        over -= set(self.begun) - set(self.read)
        for hop in self.hops:
            assert hop.name not in over or hop.is_over
        for near, _far in self.links:
            if over == set(self.asked) and near.is_open:
                assert near.protocol.is_idle
        for near, far in self.links:
            self.stage.call(near.reset)
            self.stage.call(far.reset)
        # Nobody waits on a connection that is gone.
        assert all(task.done() for task in self.asked.values())

    def connect(self, _address, near):
        if self.is_down:
            raise ConnectionRefusedError
        protocol = PeerConnection(self.far)
        far = InMemoryTransport(protocol, self.stage.loop)
        protocol.connection_made(far)
        self.links.append((near, far))
        if self.is_dying:
            self.stage.loop.call_soon(near.reset)
            self.stage.loop.call_soon(far.reset)

    @rule(dies=st.sampled_from([False, False, True]))
    def let_it_die(self, dies):
        """The peer resets connections as soon as they are open, or takes them."""
        self.is_dying = dies

    @rule(mutating=st.booleans(), has_body=st.booleans(), count=st.integers(1, 3))
    def ask(self, mutating, has_body, count):
        for _ask in range(count):
            self.ask_one(mutating, has_body)

    def ask_one(self, mutating, has_body):
        name = f"a{len(self.asked):04}"
        head = kinds.RequestHead(
            attempt_id=name,
            route_type="mutating" if mutating else "read_only",
            deadline_left_ms=900_000,
            body_follows=has_body,
        )
        body = Body(b"body of " + name.encode())
        self.asked[name] = self.stage.start(self.sender.send(PEER, head, body, 100, 900.0))

    def move(self, link, side, size):
        near_or_far, other = link[side], link[1 - side]
        if not near_or_far.is_open and not other.is_open:
            return
        data = near_or_far.take(size)
        if data and other.is_open:
            self.stage.call(other.protocol.data_received, data)
        # An end that closed is noticed behind its last byte.
        if not near_or_far.is_open and near_or_far.moved == len(near_or_far.written):
            self.stage.call(other.lose, None)

    @rule(choice=CHOICE, side=st.integers(0, 1), size=st.sampled_from([1, 3, 9, 30, 10_000]))
    def move_some(self, choice, side, size):
        if self.links:
            self.move(self.links[choice % len(self.links)], side, size)

    @rule(choice=CHOICE, style=st.sampled_from(["whole", "long", "refused", "reset"]))
    def answer(self, choice, style):
        hops = [hop for hop in self.hops if not hop.is_over]
        if not hops:
            return
        hop = hops[choice % len(hops)]
        if hop.is_answering:
            self.stage.call(hop.gate.set)
            return
        hop.is_answering = True
        hop.is_over = style != "long"
        head = kinds.AnswerHead(outcome=HopOutcome.ANSWERED, status=200)
        if style == "long":
            head.body_follows = True
            hop.tasks.append(self.stage.start(hop.answer_at_length(head)))
            return
        if style == "whole":
            head.body = b"answer of " + hop.name.encode()
        elif style == "refused":
            self.said_not.add(hop.name)
            head = kinds.AnswerHead(outcome=HopOutcome.NEVER_OFFERED)
        if style == "reset":
            hop.exchange.send(FrameKind.RESET)
        else:
            hop.exchange.send(FrameKind.ANSWER, head.SerializeToString())
        hop.exchange.close()

    @rule(choice=CHOICE)
    def cancel(self, choice):
        tasks = [task for task in self.asked.values() if not task.done()]
        if tasks:
            tasks[choice % len(tasks)].cancel()
            self.stage.turn()

    @rule(choice=CHOICE)
    def give_up_reading(self, choice):
        begun = [name for name in self.begun if name not in self.read]
        if begun:
            name = begun[choice % len(begun)]
            self.read[name] = None
            self.begun[name].cancel()
            self.stage.call(self.asked[name].result().answer.release)

    @rule(choice=CHOICE)
    def cut(self, choice):
        if self.links:
            near, far = self.links[choice % len(self.links)]
            self.stage.call(near.reset)
            self.stage.call(far.reset)

    @rule(starts_again=st.booleans())
    def restart(self, starts_again):
        """The peer is gone; another life of it may come up under its address."""
        for near, far in self.links:
            self.stage.call(near.reset)
            self.stage.call(far.reset)
        self.is_down, self.far = not starts_again, Far(self)

    @rule()
    def let_time_go(self):
        """Long enough for a peer that says nothing to count as silent."""
        for _look in range(8):
            self.stage.advance(0.1)

    @invariant()
    def every_answer_is_the_requests_own(self):
        self.check()

    def check(self):
        for name, task in self.asked.items():
            if not task.done() or task.cancelled():
                continue
            result, own = task.result(), b"answer of " + name.encode()
            if result.outcome is HopOutcome.NEVER_OFFERED:
                heads = [near for near, _far in self.links if name.encode() in near.written]
                assert name in self.said_not or not heads
            if result.outcome is not HopOutcome.ANSWERED:
                continue
            if result.answer.pipe is None:
                assert result.answer.body == own
            elif name not in self.begun:
                self.begun[name] = self.stage.start(self.read_pipe(name, result.answer))
            if self.read.get(name) is not None:
                assert self.read[name] == own
        for hop in self.hops:
            assert hop.body in (None, b"body of " + hop.name.encode())

    async def read_pipe(self, name, answer):
        body = b""
        try:
            while chunk := await answer.pipe.read():
                body += chunk
        except MeshError:
            body = None
        self.read[name] = body
        answer.release()


class ManyNumbers(PeerModel):
    last_number = peer_connection.LAST_NUMBER


TestPeerConnections = ManyNumbers.TestCase
TestFewNumbers = PeerModel.TestCase
TestPeerConnections.settings = settings(max_examples=120, stateful_step_count=30, deadline=None)
TestFewNumbers.settings = TestPeerConnections.settings
