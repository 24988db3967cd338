"""Maintains one outgoing connection to each peer, opened on first use."""

import asyncio
import time

from marblefold.errors import MeshError
from marblefold.inner_protocol.peer_connection import ConnectionOwner, PeerConnection
from marblefold.node_config.reading import Address

__all__ = ["PeerConnectionPool"]

# Wait before the next attempt to connect to a peer that could not be reached.
_RECONNECT_DELAY_SECONDS = 0.25


class PeerConnectionPool:
    """The outgoing connections of a process, one per peer."""

    def __init__(
        self,
        owner: ConnectionOwner,
        connect_seconds: float = 0.5,
        keep_alive_seconds: int = 1,
    ) -> None:
        self._owner = owner
        self._keep_alive_seconds = keep_alive_seconds
        self._connect_timeout_seconds = connect_seconds
        self._connections: dict[str, PeerConnection] = {}
        # Connections whose exchange numbers are exhausted; each closes after its last exchange.
        self._replaced: set[PeerConnection] = set()
        self._connecting: dict[str, asyncio.Task] = {}
        self._reconnect_not_before: dict[str, float] = {}

    def find(self, peer: str) -> PeerConnection | None:
        """Returns the open connection to the peer, or None."""
        connection = self._connections.get(peer)
        if connection is None or not connection.is_open or connection.is_exhausted:
            return None
        return connection

    async def connect(self, peer: str) -> PeerConnection:
        """Returns an open connection to the peer; MeshError if it cannot be opened in time."""
        connection = self.find(peer)
        if connection is not None:
            return connection
        if time.monotonic() < self._reconnect_not_before.get(peer, 0.0):
            raise MeshError("connect", "lately out of reach", peer)
        task = self._connecting.get(peer)
        # Concurrent requests for the same peer share one connection attempt.
        if task is None:
            task = asyncio.get_running_loop().create_task(self._connect(peer))
            self._connecting[peer] = task
            task.add_done_callback(lambda done: self._on_connect_done(peer, done))
        return await asyncio.shield(task)

    def connections(self) -> list[PeerConnection]:
        """Returns the connections that are open now."""
        self._replaced = {connection for connection in self._replaced if connection.is_open}
        known = [*self._connections.values(), *self._replaced]
        return [connection for connection in known if connection.is_open]

    def close_connection(self, peer: str) -> None:
        """Closes the connection to the peer, if there is one."""
        connection = self._connections.pop(peer, None)
        if connection is not None:
            connection.close()

    def close_idle_connection(self, peer: str) -> None:
        """Closes the connection to a peer that may be lost, if the connection is idle.

        If opening a new connection then fails, it is certain that nothing was sent.
        """
        connection = self._connections.get(peer)
        if connection is not None and connection.is_idle:
            self.close_connection(peer)

    def close(self) -> None:
        """Closes all connections."""
        for peer in list(self._connections):
            self.close_connection(peer)
        for connection in self._replaced:
            connection.close()

    def _on_connect_done(self, peer: str, done: asyncio.Task) -> None:
        self._connecting.pop(peer, None)
        # Marks the exception as retrieved: there may be no waiter any more.
        if not done.cancelled():
            done.exception()

    async def _connect(self, peer: str) -> PeerConnection:
        address = Address.parse(peer)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout_seconds):
                _transport, connection = await loop.create_connection(
                    lambda: PeerConnection(self._owner, peer, self._keep_alive_seconds),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError) as error:
            self._reconnect_not_before[peer] = time.monotonic() + _RECONNECT_DELAY_SECONDS
            raise MeshError("connect", str(error) or "no answer", peer) from error
        self._reconnect_not_before.pop(peer, None)
        old = self._connections.get(peer)
        if old is not None and old.is_open:
            self._replaced.add(old)
        self._connections[peer] = connection
        return connection
