"""An event loop whose connections to some addresses can be cut, as by a network partition.

A cut holds bytes up and tells nobody: neither end reads, new connections hang, and
datagrams are lost.  It must be set at both ends.  Only programs of a soak run on it.
"""

import asyncio
import socket
from collections.abc import Iterable

__all__ = ["CutLoop"]


class CutLoop(asyncio.SelectorEventLoop):
    """Connects from the node's own address, so that both ends know each other by it."""

    def __init__(self, own_host: str) -> None:
        super().__init__()
        self._own_host = own_host
        self._cut: frozenset[str] = frozenset()
        self._healed = asyncio.Event()
        # Open connections to other nodes, each with what reads it.
        self._transports: dict[asyncio.Transport, tuple[str, int]] = {}

    def set_cut(self, hosts: Iterable[str]) -> None:
        """From now on exactly these addresses are out of reach."""
        self._cut = frozenset(hosts)
        for transport, (host, descriptor) in list(self._transports.items()):
            if transport.is_closing():
                del self._transports[transport]
            elif host in self._cut:
                self._remove_reader(descriptor)  # type: ignore[attr-defined]
            else:
                self._add_reader(  # type: ignore[attr-defined]
                    descriptor,
                    transport._read_ready,  # type: ignore[attr-defined]
                )
        self._healed.set()
        self._healed = asyncio.Event()

    async def create_connection(self, protocol_factory, host=None, port=None, **options):
        """As the usual one, but it hangs while the address is cut off."""
        while host in self._cut:
            await self._healed.wait()
        options.setdefault("local_addr", (self._own_host, 0))
        return await super().create_connection(protocol_factory, host, port, **options)

    def _make_socket_transport(self, sock, protocol, waiter=None, **options):
        transport = super()._make_socket_transport(  # type: ignore[misc]
            sock, protocol, waiter, **options
        )
        try:
            host = sock.getpeername()[0]
        except OSError:
            return transport
        if host != self._own_host:
            self._transports[transport] = (host, sock.fileno())
            if host in self._cut:
                self.call_soon(self.call_soon, self._hold, transport)
        return transport

    def _hold(self, transport) -> None:
        host, descriptor = self._transports.get(transport, ("", -1))
        if host in self._cut and not transport.is_closing():
            self._remove_reader(descriptor)  # type: ignore[attr-defined]

    def _make_datagram_transport(self, sock: socket.socket, protocol, *options, **more):
        transport = super()._make_datagram_transport(  # type: ignore[misc]
            sock, protocol, *options, **more
        )
        send = transport.sendto

        def send_unless_cut(data, addr=None):
            if addr is None or addr[0] not in self._cut:
                send(data, addr)

        transport.sendto = send_unless_cut
        return transport
