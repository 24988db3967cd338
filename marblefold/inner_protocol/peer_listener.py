"""Accepts the connections of peers."""

import asyncio
import weakref

from marblefold.inner_protocol.peer_connection import ConnectionOwner, PeerConnection

__all__ = ["PeerListener"]

_LISTEN_BACKLOG = 512


class PeerListener:
    """One listening address for peers, and the connections accepted at it."""

    def __init__(self, owner: ConnectionOwner, keep_alive_seconds: int) -> None:
        self._owner = owner
        self._keep_alive_seconds = keep_alive_seconds
        self._connections: weakref.WeakSet[PeerConnection] = weakref.WeakSet()

    async def start(self, address: str) -> None:
        """Starts listening at "host:port"; raises OSError if it cannot be bound."""
        host, _separator, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_server(self._accept, host, int(port), backlog=_LISTEN_BACKLOG)

    @property
    def undelivered_count(self) -> int:
        """The number of connections with bytes that the peer has not acknowledged yet."""
        return sum(1 for connection in self._connections if connection.undelivered_bytes)

    def _accept(self) -> PeerConnection:
        connection = PeerConnection(self._owner, keep_alive_seconds=self._keep_alive_seconds)
        self._connections.add(connection)
        return connection
