"""From the client's request to the bytes at targets: who may have run it, and what was said.

Executor, decision, hop sender, peer connections, guards and target connections
are the programs' own.  Only bytes, time and the targets are the test's.
"""

import re
from datetime import timedelta
from types import SimpleNamespace

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marblefold.configuration.route_table import RouteTable
from marblefold.http_connections.client_connection import ClientConnection
from marblefold.http_connections.http_server import HttpServer
from marblefold.inner_protocol.peer_book import PeerBook
from marblefold.inner_protocol.peer_connection import PeerConnection
from marblefold.node_config.model import Address, Limits
from marblefold.node_config.reading import parse_config
from marblefold.request_path.executor import RequestExecutor
from marblefold.request_path.guard import Guard
from marblefold.request_path.hop_sender import HopSender
from marblefold.request_path.local_target import Beat, LocalTarget
from marblefold.request_path.mesh_view import MeshView
from marblefold.request_path.running_work import RunningWork
from marblefold.request_path.surroundings import Surroundings
from marblefold.request_path.target_selection import TargetSelector
from tests.mesh_on_loopback import make_config
from tests.simulated_connections import InMemoryTransport, Simulation
from tests.simulated_path import MOST, Asked, Write, make_entry, make_rows

CHOICE = st.integers(0, 10_000)
PEER, TARGET = "10.0.0.%d:7600", "10.0.1.%d:80"
PROMISES = (408, 421, 429, 503)
STYLES = ["whole", "failure", "refused", "refused", "unstated", "reset", "reset", "other"]
HEAD = re.compile(
    rb"GET /\w+/x HTTP/1\.1\r\n(?:Host: \w+\r\n)Attempt-Id: (\w+)\r\nDeadline-Ms: (\d+)\r\n"
)


class WholePath(RuleBasedStateMachine):
    nodes = (1, 2, 3)

    def __init__(self):
        super().__init__()
        self.stage = Simulation()
        self.asked, self.links, self.lines, self.held = {}, [], [], set()
        self.opening_takes, self.refuses = 0.0, set()
        # For how long each link was silent.
        self.held_for = dict.fromkeys(self.nodes, 0.0)
        self.stage.loop.connector = self.connect
        config = parse_config(make_config("10.0.0.9", 7000, ""))
        self.view = MeshView("n9")
        self.view.table, self.view.proxies = RouteTable(make_rows()), 1
        self.guards = {}
        for number in self.nodes:
            self.view.take(make_entry(number))
            self.guards[number] = self.stage.call(self.make_guard, number, config.bounds)
        selector = TargetSelector(self.view, "hall", seed=1)
        surroundings = Surroundings(self.view, selector, config.bounds, Limits(1e6, 1_000_000))
        peers = PeerBook(SimpleNamespace(on_lost=lambda _connection: None))
        sender = HopSender(peers, lambda peer: selector.note_silent(peer, self.stage.now))
        executor = RequestExecutor(surroundings, sender, RunningWork(), "shop")
        self.server = HttpServer(executor.serve, may_run_concurrently=executor.may_run_concurrently)
        for run in (sender.run, self.server.run, *(guard.run for guard in self.guards.values())):
            self.stage.start(run())

    def teardown(self):
        self.stage.close()

    def make_guard(self, number, bounds):
        target = LocalTarget(lambda: None)
        target.take_beat(Beat(f"i{number}", "quotes", "", "hall", 4, False, timedelta(0), 1))
        guard = Guard(target, self.view, bounds)
        guard.set_address(Address(f"10.0.1.{number}", 80))
        return guard

    def connect(self, address, near):
        self.spend(self.opening_takes)
        number = int(address.partition(":")[0].rpartition(".")[2])
        if address in self.refuses:
            raise ConnectionRefusedError
        if address.startswith("10.0.1."):
            near.on_write = self.look
            self.lines.append(SimpleNamespace(transport=near, seen=0, number=number, open=None))
            return
        owner = SimpleNamespace(on_hop=self.guards[number].on_hop, on_lost=lambda _connection: None)
        far_protocol = PeerConnection(owner)
        far = InMemoryTransport(far_protocol, self.stage.loop)
        far_protocol.connection_made(far)
        self.links.append((near, far, number))

    def spend(self, seconds):
        self.stage.now += seconds
        # Bytes on their way wait too.
        late = {number for near, _far, number in self.links if near.moved < len(near.written)}
        for number in self.held | late:
            self.held_for[number] += seconds

    def flow(self):
        """Moves what the links carry, but for those that are held."""
        moved = True
        while moved:
            moved = False
            for near, far, number in self.links:
                if number in self.held:
                    continue
                for end, other in ((near, far), (far, near)):
                    data = end.take()
                    if data and other.is_open:
                        self.stage.call(other.protocol.data_received, data)
                        moved = True
                    if not end.is_open and other.is_open:
                        self.stage.call(other.lose, None)
                        moved = True

    def look(self):
        """Reads what came at the targets, in the moment in which it was written."""
        for line in self.lines:
            for match in list(HEAD.finditer(bytes(line.transport.written)))[line.seen :]:
                line.seen += 1
                asked = self.asked[match[1].decode()]
                line.open = Write(is_refused=False, number=line.number, asked=asked)
                expect = self.stage.expect
                if asked.is_mutating:
                    # It may have run wherever it was not turned away.
                    expect(
                        all(write.is_refused for write in asked.writes), "sent twice", asked.name
                    )
                asked.writes.append(line.open)
                expect(len(asked.writes) <= MOST, "too many targets", asked.name)
                # No more time is handed on than its client has left.
                # What a silent link held is not known to the guard behind it.
                left = (asked.ends - self.stage.now) * 1000 + 1
                left += (self.held_for[line.number] - asked.held_for[line.number]) * 1000
                expect(int(match[2]) <= left, "deadline", asked.name, int(match[2]), left)

    @rule(
        routes=st.lists(st.sampled_from(["read", "book"]), min_size=1, max_size=3),
        milliseconds=st.sampled_from([900, 60_000]),
    )
    def ask(self, routes, milliseconds):
        for route in routes:
            self.ask_one(route, milliseconds)

    def ask_one(self, route, milliseconds):
        name = f"a{len(self.asked)}"
        connection = self.stage.call(ClientConnection, self.server)
        transport = InMemoryTransport(connection, self.stage.loop)
        self.stage.call(connection.connection_made, transport)
        now = self.stage.now
        ends = now + min(2.0, milliseconds / 1000)
        asked = self.asked[name] = Asked(name, route == "book", now, ends, transport)
        asked.held_for = dict(self.held_for)
        self.stage.call(
            connection.data_received,
            b"GET /%s/x HTTP/1.1\r\nHost: shop\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n\r\n"
            % (route.encode(), name.encode(), milliseconds),
        )
        self.flow()

    @rule(choice=CHOICE, styles=st.lists(st.sampled_from(STYLES), min_size=1, max_size=4))
    def act(self, choice, styles):
        for style in styles:
            lines = [line for line in self.lines if line.open and line.transport.is_open]
            if lines:
                self.act_on(lines[choice % len(lines)], style)

    def act_on(self, line, style):
        asked, write, line.open = line.open.asked, line.open, None
        if style == "reset":
            self.stage.call(line.transport.reset)
            self.flow()
            return
        attempt = b"zz" if style == "other" else asked.name.encode()
        status = {"whole": 200, "failure": 500, "refused": 503, "unstated": 429}.get(style, 200)
        seal = b"s-%d-%s" % (line.number, attempt)
        said = b"Not-Executed: 1" if style == "refused" else b"Server-Seal: " + seal
        write.is_refused = style == "refused"
        asked.given[seal] = status
        self.stage.call(
            line.transport.protocol.data_received,
            b"HTTP/1.1 %d Said\r\nAttempt-Id: %s\r\n%s\r\nContent-Length: 4\r\n\r\ndone"
            % (status, attempt, said),
        )
        self.flow()

    @rule(number=st.sampled_from(nodes), is_held=st.sampled_from([False, False, True]))
    def hold(self, number, is_held):
        """A peer that says nothing, and its return."""
        (self.held.add if is_held else self.held.discard)(number)
        self.flow()

    @rule(choice=CHOICE)
    def cut(self, choice):
        if self.links:
            near, far, _number = self.links[choice % len(self.links)]
            self.stage.call(near.reset)
            self.stage.call(far.reset)
            self.flow()

    @rule(choice=CHOICE)
    def leave(self, choice):
        staying = [asked for asked in self.asked.values() if not asked.has_left]
        if staying:
            asked = staying[choice % len(staying)]
            asked.has_left, asked.written_when_left = True, len(asked.writes)
            self.stage.call(asked.transport.reset)
            self.flow()

    @rule(seconds=st.sampled_from([0.0, 0.0, 0.2, 0.24]))
    def make_opening_slow(self, seconds):
        self.opening_takes = seconds

    @rule(number=st.sampled_from(nodes), where=st.sampled_from([PEER, TARGET, "", ""]))
    def let_connections_be_refused(self, number, where):
        """By one address, or by none any more."""
        self.refuses = {where % number} if where else set()

    @rule(looks=st.integers(1, 8))
    def let_time_go(self, looks):
        for _look in range(looks):
            self.spend(0.1)
            self.stage.turn()
            self.flow()

    @invariant()
    def what_was_said_holds(self):
        assert self.stage.faults == []
        for asked in self.asked.values():
            if asked.has_left:
                assert len(asked.writes) == asked.written_when_left
            if asked.answer is None:
                assert asked.has_left or self.stage.now <= asked.ends + 0.25 + self.opening_takes
                continue
            status, head, _body = asked.answer
            if status in PROMISES:
                assert all(write.is_refused for write in asked.writes)
            seal = re.search(rb"Server-Seal: (\S+)", head)
            if seal is not None:
                assert asked.given[seal[1]] == status
            assert status >= 500 or status == 429 or seal is not None


TestWholePath = WholePath.TestCase
TestWholePath.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None, phases=(Phase.reuse, Phase.generate)
)
