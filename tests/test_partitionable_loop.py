"""The simulated network of the soak test blocks open and new connections, and lets them go on."""

import asyncio

from tools.soak.partitionable_loop import PartitionableEventLoop

OWN_HOST, PEER_HOST, THIRD_HOST = "127.0.0.71", "127.0.0.72", "127.0.0.73"


class Receiver(asyncio.Protocol):
    """Collects the bytes that arrive on a connection."""

    def __init__(self):
        self.received = b""

    def data_received(self, data):
        self.received += data


class DatagramReceiver(asyncio.DatagramProtocol):
    """Collects the datagrams that arrive."""

    def __init__(self):
        self.received = []

    def datagram_received(self, data, addr):
        self.received.append(data)


class Acceptor(asyncio.Protocol):
    """Passes on each connection that a server accepts."""

    def __init__(self, transports):
        self.transports = transports

    def connection_made(self, transport):
        self.transports.append(transport)


class Peer:
    """A server outside the partitionable loop's own address; sends at the test's command."""

    def __init__(self, host):
        self.host = host
        self.transports = []

    async def start(self):
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Acceptor(self.transports), self.host, 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def connect(self):
        loop = asyncio.get_running_loop()
        return await loop.create_connection(Receiver, self.host, self.port)


async def turn_loop():
    """Lets the loop read whatever the kernel has ready; needs no bound on time."""
    for _ in range(50):
        await asyncio.sleep(0.001)


def run(scenario):
    loop = PartitionableEventLoop(OWN_HOST)
    try:
        loop.run_until_complete(scenario(loop))
    finally:
        loop.close()


def test_a_partition_blocks_an_open_connection_until_it_ends():
    async def scenario(loop):
        peer, third = await Peer(PEER_HOST).start(), await Peer(THIRD_HOST).start()
        (_, blocked), (_, other) = await peer.connect(), await third.connect()
        await turn_loop()
        loop.set_unreachable_hosts([PEER_HOST])
        peer.transports[0].write(b"late")
        third.transports[0].write(b"now")
        await turn_loop()
        assert (blocked.received, other.received) == (b"", b"now")
        loop.set_unreachable_hosts([])
        while not blocked.received:
            await asyncio.sleep(0.001)
        assert blocked.received == b"late"

    run(scenario)


def test_a_new_connection_waits_for_the_end_of_the_partition():
    async def scenario(loop):
        peer = await Peer(PEER_HOST).start()
        loop.set_unreachable_hosts([PEER_HOST])
        connecting = asyncio.ensure_future(peer.connect())
        await turn_loop()
        assert not connecting.done()
        loop.set_unreachable_hosts([])
        await connecting

    run(scenario)


def test_a_partition_is_repeatable_and_survives_pausing_and_closing():
    async def scenario(loop):
        peer = await Peer(PEER_HOST).start()
        transport, blocked = await peer.connect()
        for number in range(3):
            loop.set_unreachable_hosts([PEER_HOST])
            transport.pause_reading()
            transport.resume_reading()
            peer.transports[0].write(b"%d" % number)
            await turn_loop()
            assert len(blocked.received) == number
            loop.set_unreachable_hosts([])
            while len(blocked.received) == number:
                await asyncio.sleep(0.001)
        loop.set_unreachable_hosts([PEER_HOST])
        transport.abort()
        await turn_loop()
        loop.set_unreachable_hosts([])
        # The descriptor of the closed connection is used again, by a connection elsewhere.
        third = await Peer(THIRD_HOST).start()
        _, reused = await third.connect()
        loop.set_unreachable_hosts([PEER_HOST])
        await turn_loop()
        third.transports[0].write(b"read")
        while not reused.received:
            await asyncio.sleep(0.001)

    run(scenario)


def test_datagrams_to_an_unreachable_address_are_dropped():
    async def scenario(loop):
        there, receiver = await loop.create_datagram_endpoint(
            DatagramReceiver, local_addr=(PEER_HOST, 0)
        )
        here, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=(OWN_HOST, 0)
        )
        address = there.get_extra_info("sockname")
        loop.set_unreachable_hosts([PEER_HOST])
        here.sendto(b"dropped", address)
        await turn_loop()
        loop.set_unreachable_hosts([])
        here.sendto(b"sent", address)
        while not receiver.received:
            await asyncio.sleep(0.001)
        assert receiver.received == [b"sent"]

    run(scenario)
