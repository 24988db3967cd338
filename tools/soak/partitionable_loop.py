"""An event loop that simulates a network partition from chosen addresses.

A partition blocks bytes without an error: neither end reads, new connections hang, and
datagrams are dropped. It must be set at both ends. Only programs of a soak test use it.
"""

import asyncio
import socket
from collections.abc import Iterable

__all__ = ["PartitionableEventLoop"]


class PartitionableEventLoop(asyncio.SelectorEventLoop):
    """Connects from the node's own address, so that each end identifies the other by it."""

    def __init__(self, own_host: str) -> None:
        super().__init__()
        self._own_host = own_host
        self._unreachable_hosts: frozenset[str] = frozenset()
        self._reachability_changed = asyncio.Event()
        # Open connections to other nodes, each with its peer's host and its file descriptor.
        self._transports: dict[asyncio.Transport, tuple[str, int]] = {}

    def set_unreachable_hosts(self, hosts: Iterable[str]) -> None:
        """Makes exactly these addresses unreachable from now on."""
        self._unreachable_hosts = frozenset(hosts)
        for transport, (host, descriptor) in list(self._transports.items()):
            if transport.is_closing():
                del self._transports[transport]
            elif host in self._unreachable_hosts:
                self._remove_reader(descriptor)  # type: ignore[attr-defined]
            else:
                self._add_reader(  # type: ignore[attr-defined]
                    descriptor,
                    transport._read_ready,  # type: ignore[attr-defined]
                )
        self._reachability_changed.set()
        self._reachability_changed = asyncio.Event()

    async def create_connection(self, protocol_factory, host=None, port=None, **options):
        """Connects as the base class does, but waits while the address is unreachable."""
        while host in self._unreachable_hosts:
            await self._reachability_changed.wait()
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
            if host in self._unreachable_hosts:
                self.call_soon(self.call_soon, self._stop_reading, transport)
        return transport

    def _stop_reading(self, transport) -> None:
        host, descriptor = self._transports.get(transport, ("", -1))
        if host in self._unreachable_hosts and not transport.is_closing():
            self._remove_reader(descriptor)  # type: ignore[attr-defined]

    def _make_datagram_transport(self, sock: socket.socket, protocol, *options, **keywords):
        transport = super()._make_datagram_transport(  # type: ignore[misc]
            sock, protocol, *options, **keywords
        )
        send = transport.sendto

        def send_if_reachable(data, addr=None):
            if addr is None or addr[0] not in self._unreachable_hosts:
                send(data, addr)

        transport.sendto = send_if_reachable
        return transport
