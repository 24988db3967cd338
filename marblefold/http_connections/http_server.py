"""Accepts connections of clients, and closes those that are idle or slow."""

import asyncio
import math
import time
from collections.abc import Awaitable, Callable
from datetime import timedelta

from marblefold.configuration.rows import Limits
from marblefold.event_loop_monitor import EventLoopMonitor
from marblefold.http_connections.answer import Answer, own_answer
from marblefold.http_connections.client_connection import ClientConnection
from marblefold.http_connections.client_request import ClientRequest
from marblefold.node_config.reading import Address

__all__ = ["HttpServer"]

_SWEEP_INTERVAL = timedelta(milliseconds=500)
_LISTEN_BACKLOG = 1024
_MAX_DISCARDED_BODY_BYTES = 64 * 1024 * 1024
# One in this many connections is closed early, so that clients can read their last answers.
_CLOSED_EARLY_SHARE = 8
_SETTLE_POLL_SECONDS = 0.02


class HttpServer:
    """One listening address and the connections accepted at it."""

    def __init__(
        self,
        handle: Callable[[ClientRequest], Awaitable[Answer]],
        max_connections: int | None = None,
        may_run_concurrently: Callable[[ClientRequest], bool] = lambda request: True,
    ) -> None:
        """`may_run_concurrently` decides whether a pipelined request may run before the
        ones ahead of it are answered.  If one of those closes the connection, the client
        sends the request again, so it must be safe to run twice.
        """
        self.is_leaving = False
        # Requests that arrive later than this (monotonic seconds) are answered with 503.
        self.accepts_until = math.inf
        self.header_bytes = 16384
        self.idle_timeout = timedelta(seconds=15)
        self.header_timeout = timedelta(seconds=3)
        self.last_request_at = time.monotonic()
        self._handle = handle
        self._may_run_concurrently = may_run_concurrently
        self._loop_monitor = EventLoopMonitor(_SWEEP_INTERVAL.total_seconds())
        self._max_connections = max_connections
        self._connections: set[ClientConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Starts listening; raises OSError if the address cannot be bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ClientConnection(self), address.host, address.port, backlog=_LISTEN_BACKLOG
        )

    async def handle(self, request: ClientRequest) -> Answer:
        """Serves one request."""
        self.last_request_at = request.arrived
        await self._loop_monitor.catch_up()
        if request.arrived > self.accepts_until:
            # The body is read first: many clients read no answer before they have sent it.
            await request.read_body(_MAX_DISCARDED_BODY_BYTES, _MAX_DISCARDED_BODY_BYTES)
            return own_answer(503, "leaving", request.attempt_id, 0.1, closes=True)
        return await self._handle(request)

    @property
    def in_progress(self) -> int:
        """The number of connections with a request in progress or an answer not yet sent."""
        return sum(1 for connection in self._connections if not connection.is_settled)

    def may_run_concurrently(self, request: ClientRequest) -> bool:
        """Whether a pipelined request may run before those ahead of it are answered.

        Such a request may run twice, so it must be repeatable.
        """
        return self._may_run_concurrently(request)

    def on_connection_made(self, connection: ClientConnection) -> None:
        """Registers a new connection, and closes one if there are too many."""
        self._connections.add(connection)
        if self._max_connections is None:
            return
        early_closes = self._max_connections // _CLOSED_EARLY_SHARE
        if len(self._connections) > self._max_connections - early_closes:
            self._make_room(connection, self._max_connections)

    def on_connection_lost(self, connection: ClientConnection) -> None:
        """Removes a closed connection."""
        self._connections.discard(connection)

    def close_idle(self) -> None:
        """Closes every connection on which no request is being served."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def set_limits(self, limits: Limits) -> None:
        """Applies the operator's limits for clients."""
        self.header_bytes = limits.header_bytes
        self.header_timeout = limits.header_time
        self.idle_timeout = limits.idle_time

    def _make_room(self, new_connection: ClientConnection, max_connections: int) -> None:
        """Closes the longest idle connection, so that file descriptors remain for targets."""
        idle = [
            connection
            for connection in self._connections
            if connection is not new_connection
            and connection.is_idle
            and connection.partial_head_since is None
        ]
        if idle:
            longest_idle = min(idle, key=lambda connection: connection.last_activity_at)
            if longest_idle.close_if_delivered():
                return
            longest_idle.close_if_idle()
        # If no connection could be closed at once, the new one is before anything is read
        # from it: clients may safely resend a request of which nothing was read.
        if len(self._connections) > max_connections:
            new_connection.abort()

    async def finish(self, seconds: float) -> None:
        """Stops listening, answers the requests already read, and closes all connections.

        Returns once every answer has been delivered, or after `seconds`.
        """
        deadline = time.monotonic() + seconds
        self.is_leaving = True
        self.stop()
        self.close_idle()
        while self.in_progress and time.monotonic() < deadline:
            await asyncio.sleep(_SETTLE_POLL_SECONDS)
            self.close_idle()

    def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    async def run(self) -> None:
        """Closes connections that are idle or sending a head for too long; runs forever."""
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL.total_seconds())
            now = time.monotonic()
            self._loop_monitor.tick(now)
            idle_cutoff = now - self.idle_timeout.total_seconds()
            head_cutoff = now - self.header_timeout.total_seconds()
            for connection in list(self._connections):
                if (
                    connection.partial_head_since is not None
                    and connection.partial_head_since < head_cutoff
                ):
                    connection.refuse_slow_head()
                elif connection.last_activity_at < idle_cutoff:
                    connection.close_if_idle()
