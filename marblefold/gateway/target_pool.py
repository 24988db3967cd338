"""The connections of a gateway to its targets, within the descriptors it may use."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from marblefold.http_connections.target_connection_pool import TargetConnectionPool
from marblefold.node_config.reading import Address
from marblefold.request_path.target_caller import TargetCaller

__all__ = ["TargetPool"]

# The most idle connections, however many descriptors there are.
_MOST_IDLE = 64
_TIDY = timedelta(milliseconds=500)


class TargetPool:
    """One caller and its connection pool for each address of a target."""

    def __init__(self, descriptors: int, addresses: Callable[[], set[str]]) -> None:
        self._descriptors = max(4, descriptors)
        self._most_idle = min(_MOST_IDLE, self._descriptors // 2)
        self._addresses = addresses
        self._connections: dict[str, TargetConnectionPool] = {}
        self._callers: dict[str, TargetCaller] = {}

    @property
    def open_connections(self) -> int:
        """How many connections are open, in use or idle."""
        return sum(connections.open_count for connections in self._connections.values())

    def caller(self, address: str) -> TargetCaller | None:
        """The caller for the target at the address, or None if no descriptor is left.

        Raises ValueError if the address is not HOST:PORT.
        """
        connections = self._connections.get(address)
        if connections is None:
            connections = self._connections[address] = TargetConnectionPool(Address.parse(address))
            self._callers[address] = TargetCaller(connections)
        if not connections.idle_count and self.open_connections >= self._descriptors:
            # An idle connection elsewhere is worth less than a request now.
            if not self._close_oldest():
                return None
        return self._callers[address]

    async def run(self) -> None:
        """Tidies up periodically; runs forever."""
        while True:
            await asyncio.sleep(_TIDY.total_seconds())
            self.tidy()

    def tidy(self) -> None:
        """Closes stale and surplus idle connections, and forgets removed targets."""
        listed = self._addresses()
        for address, connections in list(self._connections.items()):
            connections.close_stale()
            if address not in listed and not connections.open_count:
                del self._connections[address], self._callers[address]
        while (
            sum(connections.idle_count for connections in self._connections.values())
            > self._most_idle
        ):
            self._close_oldest()

    def close(self) -> None:
        """Closes all idle connections."""
        for connections in self._connections.values():
            connections.close()

    def _close_oldest(self) -> bool:
        keepers = [
            connections for connections in self._connections.values() if connections.idle_count
        ]
        if not keepers:
            return False
        min(keepers, key=lambda connections: connections.oldest_idle_since).close_oldest()
        return True
