"""A target that may be cold, the guard beside it and a peer that sends it requests.

Executor, hop sender, guard and target connections are the programs' own; only bytes,
time and the target are the test's.  The peer has a configuration throughout, the guard
gets one when the test says so.
"""

import re
from datetime import timedelta
from types import SimpleNamespace

from marblefold.configuration.route_table import RouteTable
from marblefold.configuration.rows import Upstream
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
from tests.simulated_path import make_entry, make_rows

COLD_START = timedelta(seconds=3)
PER_SECOND = 22.0
# The bounds of the simulated node: 1.5 times that and 5 more.
ALLOWED = 38
WRITTEN = re.compile(rb"GET /read/x HTTP/1\.1\r\n[^\0]*?Attempt-Id: (\w+)\r\n")


def make_cold_table() -> RouteTable:
    upstream = Upstream("quotes", "/health", 100, PER_SECOND, COLD_START)
    return RouteTable(make_rows()._replace(upstreams=(upstream,)))


class ColdPath:
    """One peer, one guard and one target, on a clock that the test moves."""

    def __init__(self):
        self.stage = Simulation()
        self.stage.loop.connector = self._connect
        self.bounds = parse_config(make_config("10.0.0.9", 7000, "")).bounds
        # When each request was written to the target.
        self.written = []
        self._links, self._lines, self._asked, self._beats = [], [], 0, 0
        self.table = make_cold_table()
        self._start_peer()
        self.start_proxy()

    def _start_peer(self):
        view = MeshView("n9")
        view.table, view.proxies = self.table, 1
        view.take(make_entry(1))
        selector = TargetSelector(view, "hall", seed=1)
        limits = Limits(1e6, 1_000_000)
        surroundings = Surroundings(view, selector, self.bounds, limits)
        peers = PeerBook(SimpleNamespace(on_lost=lambda _connection: None))
        sender = HopSender(peers, lambda _peer: None)
        executor = RequestExecutor(surroundings, sender, RunningWork(), "shop")
        self._server = HttpServer(
            executor.serve, may_run_concurrently=executor.may_run_concurrently
        )

    def start_proxy(self):
        """A new process beside the target: no configuration, nothing heard of the target."""
        self.view = MeshView("n1")
        self.target = LocalTarget(lambda: None)
        self.stage.call(self._make_guard)

    def _make_guard(self):
        self.probes = 0
        self.guard = Guard(self.target, self.view, self.bounds)
        self.address = Address("10.0.1.1", 80)
        self.guard.set_address(self.address)
        self.guard.cold.on_probe_wanted = self._count_probe
        self.guard.cold.begin(self.stage.now)

    def _count_probe(self):
        if self.guard.cold.may_probe(self.stage.now):
            self.probes += 1
            self.written.append(self.stage.now)

    def configure(self):
        """The proxy beside the target has got the configuration."""
        self.view.table = self.table

    def beat(self, cold_seconds):
        """The target tells how much longer it is cold."""
        self.deliver(self.make_beat(cold_seconds))

    def make_beat(self, cold_seconds):
        """The target's next heartbeat, still on its way."""
        self._beats += 1
        cold = timedelta(seconds=cold_seconds)
        return Beat("i1", "quotes", "", "hall", 12, False, cold, self._beats)

    def deliver(self, beat):
        """The proxy hears a heartbeat."""
        self.stage.call(self.target.take_beat, beat)

    def restart_proxy(self):
        """The process beside the target is killed, and another one starts."""
        links, self._links = self._links, []
        for near, far in links:
            self.stage.call(near.reset)
            self.stage.call(far.reset)
        for line in self._lines:
            self.stage.call(line.transport.reset)
        self.start_proxy()

    def answer_health(self, cold_seconds, asked_at):
        """The target's answer to a probe arrives."""
        cold = timedelta(seconds=cold_seconds)
        self.stage.call(self.target.take_health, "i1", "quotes", "hall", 12, cold, asked_at)

    def warm_up(self):
        """The proxy has run for a while, knows its target to be warm and is used."""
        self.configure()
        self.beat(0.0)
        self.spend(5.0)
        self.ask(1)
        self.answer_health(0.0, self.stage.now)

    def ask(self, count):
        """The peer's clients ask so many times; the target answers at once."""
        for _request in range(count):
            self._asked += 1
            connection = self.stage.call(ClientConnection, self._server)
            transport = InMemoryTransport(connection, self.stage.loop)
            self.stage.call(connection.connection_made, transport)
            self.stage.call(
                connection.data_received,
                b"GET /read/x HTTP/1.1\r\nHost: shop\r\nAttempt-Id: a%d\r\n"
                b"Deadline-Ms: 900\r\n\r\n" % self._asked,
            )
            self._flow()

    def spend(self, seconds):
        """Time goes on."""
        self.stage.now += seconds
        self.stage.turn()
        self._flow()

    def most_in_a_second(self, since, until):
        """The largest number of requests written in one second of that time."""
        cold = [at for at in self.written if since <= at <= until]
        return max((sum(1 for at in cold if end - 1.0 < at <= end) for end in cold), default=0)

    def close(self):
        self.stage.close()

    def _connect(self, address, near):
        if address.startswith("10.0.1."):
            self._lines.append(SimpleNamespace(transport=near, seen=0))
            near.on_write = self._look
            return
        owner = SimpleNamespace(on_hop=self.guard.on_hop, on_lost=lambda _connection: None)
        protocol = PeerConnection(owner)
        far = InMemoryTransport(protocol, self.stage.loop)
        protocol.connection_made(far)
        self._links.append((near, far))

    def _look(self):
        for line in self._lines:
            found = list(WRITTEN.finditer(bytes(line.transport.written)))
            self.written += [self.stage.now] * (len(found) - line.seen)
            line.seen = len(found)

    def _flow(self):
        """Moves what the links carry, and lets the target answer what it was sent."""
        moved = True
        while moved:
            moved = False
            for near, far in self._links:
                for end, other in ((near, far), (far, near)):
                    data = end.take()
                    if data and other.is_open:
                        self.stage.call(other.protocol.data_received, data)
                        moved = True
            for line in self._lines:
                for match in WRITTEN.finditer(line.transport.take()):
                    answer = (
                        b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n"
                        b"Content-Length: 4\r\n\r\ndone" % match[1]
                    )
                    self.stage.call(line.transport.protocol.data_received, answer)
                    moved = True
