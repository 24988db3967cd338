"""The connections of a gateway to its targets, within its limit of file descriptors."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from marblefold.http_connections.target_connection_pool import TargetConnectionPool
from marblefold.node_config.reading import Address
from marblefold.request_path.target_caller import TargetCaller

__all__ = ["TargetPool"]

# The maximum number of idle connections, however many descriptors are available.
_MAX_IDLE_CONNECTIONS = 64
_CLEANUP_INTERVAL = timedelta(milliseconds=500)


class TargetPool:
    """Keeps a caller and a connection pool for each target address."""

    def __init__(self, descriptors: int, addresses: Callable[[], set[str]]) -> None:
        self._descriptors = max(4, descriptors)
        self._max_idle = min(_MAX_IDLE_CONNECTIONS, self._descriptors // 2)
        self._addresses = addresses
        self._pools: dict[str, TargetConnectionPool] = {}
        self._callers: dict[str, TargetCaller] = {}

    @property
    def open_connections(self) -> int:
        """The number of open connections, in use or idle."""
        return sum(pool.open_count for pool in self._pools.values())

    def caller(self, address: str) -> TargetCaller | None:
        """Returns the caller for a target's address, or None if no descriptor is left.

        Raises ValueError if the address is not HOST:PORT.
        """
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = TargetConnectionPool(Address.parse(address))
            self._callers[address] = TargetCaller(pool)
        if not pool.idle_count and self.open_connections >= self._descriptors:
            # An idle connection to another target gives way to this request.
            if not self._close_oldest():
                return None
        return self._callers[address]

    async def run(self) -> None:
        """Cleans up periodically; runs forever."""
        while True:
            await asyncio.sleep(_CLEANUP_INTERVAL.total_seconds())
            self.clean_up()

    def clean_up(self) -> None:
        """Closes stale and surplus idle connections, and removes targets that are gone."""
        known_addresses = self._addresses()
        for address, pool in list(self._pools.items()):
            pool.close_stale()
            if address not in known_addresses and not pool.open_count:
                del self._pools[address], self._callers[address]
        while sum(pool.idle_count for pool in self._pools.values()) > self._max_idle:
            self._close_oldest()

    def close(self) -> None:
        """Closes all idle connections."""
        for pool in self._pools.values():
            pool.close()

    def _close_oldest(self) -> bool:
        pools_with_idle = [pool for pool in self._pools.values() if pool.idle_count]
        if not pools_with_idle:
            return False
        min(pools_with_idle, key=lambda pool: pool.oldest_idle_since).close_oldest()
        return True
