"""An event loop that simulates a network partition from chosen addresses.

A partition blocks bytes without an error: neither end reads, new connections hang, and
datagrams are dropped. It must be set at both ends. Only programs of a soak test use it.
"""

import asyncio
import socket
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

__all__ = ["PartitionableEventLoop"]


class _OpenConnection(NamedTuple):
    """A connection to another node and the address of that node."""

    transport: asyncio.Transport
    host: str


class _SuspendedReader(NamedTuple):
    """A reader that is added to the selector when the partition ends."""

    callback: Callable[..., Any]
    arguments: tuple[Any, ...]


class PartitionableEventLoop(asyncio.SelectorEventLoop):
    """Connects from the node's own address, so that each end identifies the other by it."""

    # The attribute `_transports` belongs to the base class.

    def __init__(self, own_host: str) -> None:
        self._own_host = own_host
        self._unreachable_hosts: frozenset[str] = frozenset()
        # By file descriptor.
        self._open_connections: dict[int, _OpenConnection] = {}
        self._suspended_readers: dict[int, _SuspendedReader] = {}
        super().__init__()
        self._reachability_changed = asyncio.Event()

    def set_unreachable_hosts(self, hosts: Iterable[str]) -> None:
        """Makes exactly these addresses unreachable from now on."""
        self._unreachable_hosts = frozenset(hosts)
        self._forget_closed_connections()
        for descriptor in self._open_connections:
            if self._is_unreachable(descriptor):
                self._suspend_reader(descriptor)
            else:
                self._resume_reader(descriptor)
        self._reachability_changed.set()
        self._reachability_changed = asyncio.Event()

    async def create_connection(self, protocol_factory, host=None, port=None, **options):
        """Connects as the base class does, but waits while the address is unreachable."""
        while host in self._unreachable_hosts:
            await self._reachability_changed.wait()
        options.setdefault("local_addr", (self._own_host, 0))
        return await super().create_connection(protocol_factory, host, port, **options)

    def _add_reader(self, descriptor, callback, *arguments):
        """Called by transports when they begin or resume to read."""
        if self._is_unreachable(descriptor):
            self._suspended_readers[descriptor] = _SuspendedReader(callback, arguments)
            return None
        return super()._add_reader(descriptor, callback, *arguments)  # type: ignore[misc]

    def _remove_reader(self, descriptor):
        """Called by transports when they pause reading or close."""
        was_suspended = self._suspended_readers.pop(descriptor, None) is not None
        return super()._remove_reader(descriptor) or was_suspended  # type: ignore[misc]

    def _is_unreachable(self, descriptor: int) -> bool:
        connection = self._open_connections.get(descriptor)
        return (
            connection is not None
            and not connection.transport.is_closing()
            and connection.host in self._unreachable_hosts
        )

    def _forget_closed_connections(self) -> None:
        self._open_connections = {
            descriptor: connection
            for descriptor, connection in self._open_connections.items()
            if not connection.transport.is_closing()
        }

    def _suspend_reader(self, descriptor: int) -> None:
        transport = self._open_connections[descriptor].transport
        if descriptor not in self._suspended_readers and transport.is_reading():
            self._remove_reader(descriptor)
            self._suspended_readers[descriptor] = _SuspendedReader(
                transport._read_ready,  # type: ignore[attr-defined]
                (),
            )

    def _resume_reader(self, descriptor: int) -> None:
        suspended = self._suspended_readers.pop(descriptor, None)
        if suspended is not None:
            self._add_reader(descriptor, suspended.callback, *suspended.arguments)

    def _make_socket_transport(self, sock, protocol, waiter=None, **options):
        transport = super()._make_socket_transport(  # type: ignore[misc]
            sock, protocol, waiter, **options
        )
        try:
            host = sock.getpeername()[0]
        except OSError:
            return transport
        if host != self._own_host:
            # The transport adds its reader in a later iteration of the loop.
            self._open_connections[sock.fileno()] = _OpenConnection(transport, host)
        return transport

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
