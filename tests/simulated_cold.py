"""A target that may be cold, the guard beside it and a peer that sends it requests.

Executor, hop sender, guard and target connections are the real ones; the byte transport,
the clock and the target are simulated.  The peer always has a configuration; the guard
gets one when the test calls `configure`.
"""

import re
from datetime import timedelta
from types import SimpleNamespace

from marblefold.configuration.route_table import RouteTable
from marblefold.configuration.rows import Upstream
from marblefold.http_connections.client_connection import ClientConnection
from marblefold.http_connections.http_server import HttpServer
from marblefold.inner_protocol.peer_connection import PeerConnection
from marblefold.inner_protocol.peer_connection_pool import PeerConnectionPool
from marblefold.node_config.model import Address, Limits
from marblefold.node_config.reading import parse_config
from marblefold.request_path.executor import RequestExecutor
from marblefold.request_path.guard import Guard
from marblefold.request_path.hop_sender import HopSender
from marblefold.request_path.local_target import Heartbeat, LocalTarget
from marblefold.request_path.mesh_view import MeshView
from marblefold.request_path.routing_state import RoutingState
from marblefold.request_path.running_requests import RunningRequests
from marblefold.request_path.target_selection import TargetSelector
from tests.mesh_on_loopback import make_config
from tests.simulated_connections import InMemoryTransport, Simulation
from tests.simulated_path import make_entry, make_rows

COLD_START = timedelta(seconds=3)
PER_SECOND = 22.0
# By the bounds of the simulated node: 1.5 times PER_SECOND plus 5.
ALLOWED = 38
WRITTEN = re.compile(rb"GET /read/x HTTP/1\.1\r\n[^\0]*?Attempt-Id: (\w+)\r\n")


def make_cold_table() -> RouteTable:
    upstream = Upstream("quotes", "/health", 100, PER_SECOND, COLD_START)
    return RouteTable(make_rows()._replace(upstreams=(upstream,)))


class ColdPath:
    """One peer, one guard and one target on a simulated clock."""

    def __init__(self):
        self.simulation = Simulation()
        self.simulation.loop.connector = self._connect
        self.bounds = parse_config(make_config("10.0.0.9", 7000, "")).bounds
        # When each request was written to the target.
        self.written = []
        self._links, self._target_links, self._request_count, self._heartbeats = [], [], 0, 0
        self.table = make_cold_table()
        self._start_peer()
        self.start_proxy()

    def _start_peer(self):
        view = MeshView("n9")
        view.table, view.proxies = self.table, 1
        view.apply(make_entry(1))
        selector = TargetSelector(view, "hall", seed=1)
        limits = Limits(1e6, 1_000_000)
        routing_state = RoutingState(view, selector, self.bounds, limits)
        peers = PeerConnectionPool(SimpleNamespace(on_lost=lambda _connection: None))
        sender = HopSender(peers, lambda _peer: None)
        executor = RequestExecutor(routing_state, sender, RunningRequests(), "shop")
        self._server = HttpServer(
            executor.serve, may_run_concurrently=executor.may_run_concurrently
        )

    def start_proxy(self):
        """Starts a new proxy process without a configuration or any state of the target."""
        self.view = MeshView("n1")
        self.target = LocalTarget(lambda: None)
        self.simulation.call(self._make_guard)

    def _make_guard(self):
        self.probes = 0
        self.guard = Guard(self.target, self.view, self.bounds)
        self.address = Address("10.0.1.1", 80)
        self.guard.set_address(self.address)
        self.guard.cold.on_probe_needed = self._count_probe
        self.guard.cold.begin(self.simulation.now)

    def _count_probe(self):
        if self.guard.cold.may_probe(self.simulation.now):
            self.probes += 1
            self.written.append(self.simulation.now)

    def configure(self):
        """Gives the configuration to the proxy beside the target."""
        self.view.table = self.table

    def heartbeat(self, cold_seconds):
        """The target sends a heartbeat with its remaining cold time."""
        self.deliver(self.make_heartbeat(cold_seconds))

    def make_heartbeat(self, cold_seconds):
        """Returns the next heartbeat of the target, not delivered yet."""
        self._heartbeats += 1
        cold = timedelta(seconds=cold_seconds)
        return Heartbeat("i1", "quotes", "", "hall", 12, False, cold, self._heartbeats)

    def deliver(self, heartbeat):
        """The proxy receives a heartbeat."""
        self.simulation.call(self.target.apply_heartbeat, heartbeat)

    def restart_proxy(self):
        """Kills the proxy process beside the target and starts another one."""
        links, self._links = self._links, []
        for near, far in links:
            self.simulation.call(near.reset)
            self.simulation.call(far.reset)
        for link in self._target_links:
            self.simulation.call(link.transport.reset)
        self.start_proxy()

    def answer_health(self, cold_seconds, requested_at):
        """Delivers the answer of the target to the probe sent at `requested_at`."""
        cold = timedelta(seconds=cold_seconds)
        self.simulation.call(
            self.target.apply_health, "i1", "quotes", "hall", 12, cold, requested_at
        )

    def warm_up(self):
        """Brings the proxy to a state in which it is in use and its target is known to be warm."""
        self.configure()
        self.heartbeat(0.0)
        self.advance(5.0)
        self.send_requests(1)
        self.answer_health(0.0, self.simulation.now)

    def send_requests(self, count):
        """Sends `count` requests from clients of the peer; the target answers at once."""
        for _request in range(count):
            self._request_count += 1
            connection = self.simulation.call(ClientConnection, self._server)
            transport = InMemoryTransport(connection, self.simulation.loop)
            self.simulation.call(connection.connection_made, transport)
            self.simulation.call(
                connection.data_received,
                b"GET /read/x HTTP/1.1\r\nHost: shop\r\nAttempt-Id: a%d\r\n"
                b"Deadline-Ms: 900\r\n\r\n" % self._request_count,
            )
            self._transfer()

    def advance(self, seconds):
        """Advances the clock."""
        self.simulation.now += seconds
        self.simulation.turn()
        self._transfer()

    def max_in_a_second(self, since, until):
        """The largest number of requests written in any second of the period."""
        cold = [at for at in self.written if since <= at <= until]
        return max((sum(1 for at in cold if end - 1.0 < at <= end) for end in cold), default=0)

    def close(self):
        self.simulation.close()

    def _connect(self, address, near):
        if address.startswith("10.0.1."):
            self._target_links.append(SimpleNamespace(transport=near, seen=0))
            near.on_write = self._record_writes
            return
        owner = SimpleNamespace(on_hop=self.guard.on_hop, on_lost=lambda _connection: None)
        protocol = PeerConnection(owner)
        far = InMemoryTransport(protocol, self.simulation.loop)
        protocol.connection_made(far)
        self._links.append((near, far))

    def _record_writes(self):
        for link in self._target_links:
            found = list(WRITTEN.finditer(bytes(link.transport.written)))
            self.written += [self.simulation.now] * (len(found) - link.seen)
            link.seen = len(found)

    def _transfer(self):
        """Transfers pending bytes on the links and lets the target answer its requests."""
        moved = True
        while moved:
            moved = False
            for near, far in self._links:
                for end, other in ((near, far), (far, near)):
                    data = end.take()
                    if data and other.is_open:
                        self.simulation.call(other.protocol.data_received, data)
                        moved = True
            for link in self._target_links:
                for match in WRITTEN.finditer(link.transport.take()):
                    answer = (
                        b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n"
                        b"Content-Length: 4\r\n\r\ndone" % match[1]
                    )
                    self.simulation.call(link.transport.protocol.data_received, answer)
                    moved = True
