"""Connections between peers: what idle ones cost, and what a lost peer leaves."""

import asyncio
import socket
from types import SimpleNamespace

from marblefold.inner_protocol.peer_book import PeerBook
from marblefold.inner_protocol.peer_connection import PEER_KEEP_ALIVE, PeerConnection
from marblefold.membership.members import Liveness, Member
from marblefold.membership.prober import Prober, ProberConfig


class Owner(SimpleNamespace):
    """Takes what comes and counts the connections that were lost."""

    def __init__(self):
        super().__init__(lost=0, hops=[])

    def on_hop(self, exchange, payload):
        self.hops.append((exchange, payload))

    def on_lost(self, connection):
        self.lost += 1


def test_a_lost_peer_leaves_no_idle_connection_to_send_into():
    async def test():
        loop, far, near = asyncio.get_running_loop(), Owner(), Owner()
        server = await loop.create_server(lambda: PeerConnection(far), "127.0.0.1", 0)
        peer = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        book = PeerBook(near, keep_alive=PEER_KEEP_ALIVE)
        connection = await book.reach(peer)
        handle = connection._transport.get_extra_info("socket")
        assert handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) == PEER_KEEP_ALIVE
        exchange = connection.open_exchange()
        book.drop_idle(peer)
        # A hop under way is not cut off by a suspicion.
        assert book.find(peer) is connection
        exchange.close()
        book.drop_idle(peer)
        assert book.find(peer) is None
        assert await book.reach(peer) is not connection
        book.close()
        server.close()

    asyncio.run(test())


def test_a_prober_says_when_it_has_something_to_do():
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
        # Before what is due there is nothing to send.
        assert prober.tick(max(now, due - 0.01)) == []
        now = due + 0.001
    # The silent one was probed, asked for again, and suspected.
    assert prober.table.find("b").liveness is not Liveness.ALIVE
