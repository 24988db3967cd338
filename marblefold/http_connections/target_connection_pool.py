"""The connection pool of one target."""

import asyncio
import time

from marblefold.errors import MeshError
from marblefold.http_connections.target_connection import (
    CONNECT_STEP,
    ConnectionState,
    TargetConnection,
)
from marblefold.node_config.reading import Address

__all__ = ["CONNECT_STEP", "TargetConnectionPool"]

# A target that dropped an idle connection is assumed to drop the next ones after half
# of that idle time; this is forgotten after a while, since such faults pass.
_LEAST_REST = 0.05
_REST_SHARE = 0.5
_FADE_SECONDS = 20.0


class TargetConnectionPool:
    """Hands out idle connections, newest first, and opens new ones as needed."""

    def __init__(self, address: Address, connect_seconds: float = 0.25) -> None:
        # When a byte last came from the target (monotonic seconds).
        self.last_received_at = time.monotonic()
        self._address = address
        self._connect_seconds = connect_seconds
        self._kept: list[TargetConnection] = []
        self._used = 0
        self._forgets_after = 1e9
        self._forgot_at = 0.0

    @property
    def idle_count(self) -> int:
        """How many connections are idle."""
        return len(self._kept)

    @property
    def open_count(self) -> int:
        """How many connections are open, in use or idle."""
        return len(self._kept) + self._used

    @property
    def oldest_idle_since(self) -> float:
        """Since when the longest idle connection is idle, in monotonic seconds.

        Raises IndexError if none is idle.
        """
        return self._kept[0].idle_since

    async def acquire(self, max_idle_seconds: float | None = None) -> TargetConnection:
        """A connection ready for a request, idle for at most `max_idle_seconds` seconds.

        Raises MeshError if none can be opened; nothing was sent then.
        """
        now = time.monotonic()
        longest = self._safe_rest(now)
        if max_idle_seconds is not None:
            longest = min(longest, max_idle_seconds)
        # The newest is the last: if it was idle too long, so were all.
        if self._kept and now - self._kept[-1].idle_since <= longest:
            connection = self._kept.pop()
            if connection.state is ConnectionState.IDLE and now < connection.usable_until:
                self._used += 1
                return connection
            connection.close()
            return await self.acquire(max_idle_seconds)
        return await self._open_used()

    async def is_reachable(self) -> bool:
        """Whether the target still accepts a new connection, which is then kept."""
        try:
            connection = await self._open()
        except MeshError:
            return False
        self._kept.append(connection)
        return True

    def release(self, connection: TargetConnection) -> None:
        """Keeps the connection if its answer was read whole and it may be kept."""
        self._used -= 1
        if connection.finish():
            self._kept.append(connection)

    def release_unused(self, connection: TargetConnection) -> None:
        """Keeps a connection that was taken and not written to."""
        self._used -= 1
        if connection.state is ConnectionState.IDLE:
            self._kept.append(connection)

    def discard(self, connection: TargetConnection) -> None:
        """Closes a connection that was in use."""
        self._used -= 1
        # Closed by the target after an idle time, without a byte: it was dropped.
        if connection.state is ConnectionState.CLOSED and not connection.has_received_bytes:
            if connection.idle_seconds_before > _LEAST_REST:
                self._forgets_after = max(_LEAST_REST, connection.idle_seconds_before * _REST_SHARE)
                self._forgot_at = time.monotonic()
        connection.close()

    def close_stale(self) -> None:
        """Closes the idle connections that would not be used again."""
        now = time.monotonic()
        kept, self._kept = self._kept, []
        longest = self._safe_rest(now)
        for connection in kept:
            is_good = connection.state is ConnectionState.IDLE and now < connection.usable_until
            if is_good and now - connection.idle_since <= longest:
                self._kept.append(connection)
            else:
                connection.close()

    def close_oldest(self) -> None:
        """Closes the longest idle connection; IndexError if there is none."""
        self._kept.pop(0).close()

    def close(self) -> None:
        """Closes the idle connections."""
        kept, self._kept = self._kept, []
        for connection in kept:
            connection.close()

    def _safe_rest(self, now: float) -> float:
        if now - self._forgot_at > _FADE_SECONDS:
            return 1e9
        return self._forgets_after

    async def _open_used(self) -> TargetConnection:
        # Counted before it is open: a descriptor is taken from here on.
        self._used += 1
        try:
            return await self._open()
        except BaseException:
            self._used -= 1
            raise

    async def _open(self) -> TargetConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_seconds):
                _transport, connection = await loop.create_connection(
                    lambda: TargetConnection(self._note_heard),
                    self._address.host,
                    self._address.port,
                )
        except (OSError, TimeoutError) as error:
            raise MeshError(CONNECT_STEP, str(error) or "no answer", str(self._address)) from error
        self._note_heard()
        return connection

    def _note_heard(self) -> None:
        self.last_received_at = time.monotonic()
