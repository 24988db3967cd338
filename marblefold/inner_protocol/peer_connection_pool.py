"""Keeps one outgoing connection to each peer, opened on first use."""

import asyncio
import time

from marblefold.errors import MeshError
from marblefold.inner_protocol.peer_connection import ConnectionOwner, PeerConnection
from marblefold.node_config.reading import Address

__all__ = ["PeerConnectionPool"]

# A peer that could not be reached is not tried again for so many seconds.
_SHUN_SECONDS = 0.25


class PeerConnectionPool:
    """The outgoing connections of a process."""

    def __init__(
        self,
        owner: ConnectionOwner,
        connect_seconds: float = 0.5,
        keep_alive_seconds: int = 1,
    ) -> None:
        self._owner = owner
        self._keep_alive_seconds = keep_alive_seconds
        self._connect_seconds = connect_seconds
        self._connections: dict[str, PeerConnection] = {}
        # Out of numbers; they are closed after their last exchange.
        self._replaced: set[PeerConnection] = set()
        self._connecting: dict[str, asyncio.Task] = {}
        self._shunned_until: dict[str, float] = {}

    def find(self, peer: str) -> PeerConnection | None:
        """The open connection to the peer, or None."""
        connection = self._connections.get(peer)
        if connection is None or not connection.is_open or connection.is_exhausted:
            return None
        return connection

    async def connect(self, peer: str) -> PeerConnection:
        """An open connection to the peer; MeshError if it cannot be opened in time."""
        connection = self.find(peer)
        if connection is not None:
            return connection
        if time.monotonic() < self._shunned_until.get(peer, 0.0):
            raise MeshError("connect", "lately out of reach", peer)
        task = self._connecting.get(peer)
        # Many requests may need the same peer at once: they share one attempt.
        if task is None:
            task = asyncio.get_running_loop().create_task(self._connect(peer))
            self._connecting[peer] = task
            task.add_done_callback(lambda done: self._note_connected(peer, done))
        return await asyncio.shield(task)

    def connections(self) -> list[PeerConnection]:
        """The connections that are open now."""
        self._replaced = {connection for connection in self._replaced if connection.is_open}
        known = [*self._connections.values(), *self._replaced]
        return [connection for connection in known if connection.is_open]

    def close_connection(self, peer: str) -> None:
        """Closes the connection to a peer that is gone."""
        connection = self._connections.pop(peer, None)
        if connection is not None:
            connection.close()

    def close_idle_connection(self, peer: str) -> None:
        """Closes the connection to a peer that may be lost, if it is idle.

        If a new connection then fails, it is certain that nothing was sent.
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

    def _note_connected(self, peer: str, done: asyncio.Task) -> None:
        self._connecting.pop(peer, None)
        # Nobody may be waiting any more: mark the exception as retrieved.
        if not done.cancelled():
            done.exception()

    async def _connect(self, peer: str) -> PeerConnection:
        address = Address.parse(peer)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_seconds):
                _transport, connection = await loop.create_connection(
                    lambda: PeerConnection(self._owner, peer, self._keep_alive_seconds),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError) as error:
            self._shunned_until[peer] = time.monotonic() + _SHUN_SECONDS
            raise MeshError("connect", str(error) or "no answer", peer) from error
        self._shunned_until.pop(peer, None)
        old = self._connections.get(peer)
        if old is not None and old.is_open:
            self._replaced.add(old)
        self._connections[peer] = connection
        return connection
