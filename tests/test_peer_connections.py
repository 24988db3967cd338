"""Connections between peers: keep-alive, idle connections to lost peers, and due times."""

import asyncio
import socket
from types import SimpleNamespace

from marblefold.inner_protocol.peer_connection import PEER_KEEP_ALIVE_SECONDS, PeerConnection
from marblefold.inner_protocol.peer_connection_pool import PeerConnectionPool
from marblefold.membership.members import Liveness, Member
from marblefold.membership.prober import Prober, ProberConfig


class Owner(SimpleNamespace):
    """Records received hops and counts lost connections."""

    def __init__(self):
        super().__init__(lost=0, hops=[])

    def on_hop(self, exchange, payload):
        self.hops.append((exchange, payload))

    def on_lost(self, connection):
        self.lost += 1


def test_a_lost_peer_leaves_no_idle_connection_to_send_into():
    async def test():
        loop, server_owner, client_owner = asyncio.get_running_loop(), Owner(), Owner()
        server = await loop.create_server(lambda: PeerConnection(server_owner), "127.0.0.1", 0)
        peer = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = PeerConnectionPool(client_owner, keep_alive_seconds=PEER_KEEP_ALIVE_SECONDS)
        connection = await pool.connect(peer)
        peer_socket = connection._transport.get_extra_info("socket")
        assert (
            peer_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
            == PEER_KEEP_ALIVE_SECONDS
        )
        exchange = connection.open_exchange()
        pool.close_idle_connection(peer)
        # A suspicion does not interrupt a hop in progress.
        assert pool.find(peer) is connection
        exchange.close()
        pool.close_idle_connection(peer)
        assert pool.find(peer) is None
        assert await pool.connect(peer) is not connection
        pool.close()
        server.close()

    asyncio.run(test())


def test_a_prober_reports_when_it_must_be_called_next():
    config = ProberConfig()
    prober = Prober(
        Member("a", "a", "proxy", "hall", 1, 0, Liveness.ALIVE), list, config=config, seed=1
    )
    prober.table.merge(Member("b", "b", "proxy", "hall", 1, 0, Liveness.ALIVE), 0.0)
    now = 10.0
    for _ in range(12):
        prober.tick(now)
        due = prober.next_due(now)
        assert now <= due <= now + config.probe_interval_seconds
        # Nothing is sent before the due time.
        assert prober.tick(max(now, due - 0.01)) == []
        now = due + 0.001
    # The member that does not answer was probed directly and indirectly, and suspected.
    assert prober.table.find("b").liveness is not Liveness.ALIVE
