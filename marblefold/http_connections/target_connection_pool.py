"""The connection pool of one target."""

import asyncio
import bisect
import time

from marblefold.errors import MeshError
from marblefold.http_connections.target_connection import (
    CONNECT_STEP,
    ConnectionState,
    TargetConnection,
)
from marblefold.node_config.reading import Address

__all__ = ["CONNECT_STEP", "TargetConnectionPool"]

# If a target drops an idle connection, later ones are reused for at most half of that
# idle time.  The limit expires, since such faults are temporary.
_MIN_IDLE_LIMIT_SECONDS = 0.05
_IDLE_LIMIT_FACTOR = 0.5
_IDLE_LIMIT_EXPIRY_SECONDS = 20.0


class TargetConnectionPool:
    """Hands out idle connections, the most recently used first, and opens new ones."""

    def __init__(self, address: Address, connect_timeout_seconds: float = 0.25) -> None:
        # When the target last sent bytes or accepted a connection (monotonic seconds).
        self.last_received_at = time.monotonic()
        self._address = address
        self._connect_timeout_seconds = connect_timeout_seconds
        self._idle: list[TargetConnection] = []
        self._in_use_count = 0
        self._idle_limit_seconds = 1e9
        self._idle_limit_set_at = 0.0

    @property
    def idle_count(self) -> int:
        """The number of idle connections."""
        return len(self._idle)

    @property
    def open_count(self) -> int:
        """The number of open connections, in use or idle."""
        return len(self._idle) + self._in_use_count

    @property
    def oldest_idle_since(self) -> float:
        """When the connection that has been idle longest became idle (monotonic seconds).

        Raises IndexError if none is idle.
        """
        return self._idle[0].idle_since

    async def acquire(self, max_idle_seconds: float | None = None) -> TargetConnection:
        """Returns a connection that has been idle for at most `max_idle_seconds`, or a new one.

        Raises MeshError if none can be opened; nothing has been sent then.
        """
        now = time.monotonic()
        idle_limit = self._current_idle_limit(now)
        if max_idle_seconds is not None:
            idle_limit = min(idle_limit, max_idle_seconds)
        # Connections are ordered by idle time: if the last has been idle too long, all have.
        while self._idle and now - self._idle[-1].idle_since <= idle_limit:
            connection = self._idle.pop()
            if connection.state is ConnectionState.IDLE and now < connection.usable_until:
                self._in_use_count += 1
                return connection
            connection.close()
        if self._idle:
            # The new connection takes the place of an old one: otherwise a target that keeps
            # idle connections would at last accept no more.
            self.close_oldest()
        return await self._open_counted()

    async def is_reachable(self) -> bool:
        """Whether the target still accepts a connection; the new one joins the idle ones."""
        try:
            connection = await self._open()
        except MeshError:
            return False
        self._add_idle(connection)
        return True

    def release(self, connection: TargetConnection) -> None:
        """Returns a connection whose answer was read completely; it is reused if possible."""
        self._in_use_count -= 1
        if connection.finish():
            self._add_idle(connection)

    def release_unused(self, connection: TargetConnection) -> None:
        """Returns a connection that was acquired and not written to."""
        self._in_use_count -= 1
        if connection.state is ConnectionState.IDLE:
            self._add_idle(connection)

    def discard(self, connection: TargetConnection) -> None:
        """Closes a connection that was in use and must not be reused."""
        self._in_use_count -= 1
        # The target closed a connection that had been idle, without sending a byte: it
        # drops idle connections after at most that idle time.
        if connection.state is ConnectionState.CLOSED and not connection.has_received_bytes:
            if connection.idle_seconds_before > _MIN_IDLE_LIMIT_SECONDS:
                self._idle_limit_seconds = max(
                    _MIN_IDLE_LIMIT_SECONDS, connection.idle_seconds_before * _IDLE_LIMIT_FACTOR
                )
                self._idle_limit_set_at = time.monotonic()
        connection.close()

    def close_stale(self) -> None:
        """Closes the idle connections that can no longer be reused."""
        now = time.monotonic()
        idle, self._idle = self._idle, []
        idle_limit = self._current_idle_limit(now)
        for connection in idle:
            is_reusable = connection.state is ConnectionState.IDLE and now < connection.usable_until
            if is_reusable and now - connection.idle_since <= idle_limit:
                self._idle.append(connection)
            else:
                connection.close()

    def close_oldest(self) -> None:
        """Closes the connection that has been idle longest; IndexError if none is idle."""
        self._idle.pop(0).close()

    def close(self) -> None:
        """Closes all idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def _add_idle(self, connection: TargetConnection) -> None:
        bisect.insort(self._idle, connection, key=lambda each: each.idle_since)

    def _remove_idle(self, connection: TargetConnection) -> None:
        """Removes a connection that was lost, if it was idle."""
        if connection in self._idle:
            self._idle.remove(connection)

    def _current_idle_limit(self, now: float) -> float:
        if now - self._idle_limit_set_at > _IDLE_LIMIT_EXPIRY_SECONDS:
            return 1e9
        return self._idle_limit_seconds

    async def _open_counted(self) -> TargetConnection:
        # Counted before it is open, since its descriptor is in use from here on.
        self._in_use_count += 1
        try:
            return await self._open()
        except BaseException:
            self._in_use_count -= 1
            raise

    async def _open(self) -> TargetConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout_seconds):
                _transport, connection = await loop.create_connection(
                    lambda: TargetConnection(self._note_received, self._remove_idle),
                    self._address.host,
                    self._address.port,
                )
        except (OSError, TimeoutError) as error:
            raise MeshError(CONNECT_STEP, str(error) or "no answer", str(self._address)) from error
        self._note_received()
        return connection

    def _note_received(self) -> None:
        self.last_received_at = time.monotonic()
