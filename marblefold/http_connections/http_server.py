"""Accepts the connections of clients and closes idle or slow ones."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from datetime import timedelta

from marblefold.configuration.rows import Limits
from marblefold.http_connections.answer import Answer, own_answer
from marblefold.http_connections.client_connection import ClientConnection
from marblefold.http_connections.client_request import ClientRequest
from marblefold.loop_watch import LoopWatch
from marblefold.node_config.reading import Address

__all__ = ["HttpServer"]

_SWEEP = timedelta(milliseconds=500)
_BACKLOG = 1024
_LARGEST_UNSERVED = 64 * 1024 * 1024


class HttpServer:
    """One listening address and the connections accepted at it."""

    def __init__(
        self,
        handle: Callable[[ClientRequest], Awaitable[Answer]],
        most_connections: int | None = None,
        may_run_concurrently: Callable[[ClientRequest], bool] = lambda request: True,
    ) -> None:
        """Whether a pipelined request may run before the ones ahead of it are
        answered is asked of may_run_concurrently; a client sends it again where one of
        those ends the connection.
        """
        self.is_leaving = False
        # Late in the shutdown, new requests are refused.
        self.refuses_requests = False
        self.header_bytes = 16384
        self.idle_time = timedelta(seconds=15)
        self.header_time = timedelta(seconds=3)
        self.last_request_at = time.monotonic()
        self.in_progress = 0
        self._handle = handle
        self._may_run_concurrently = may_run_concurrently
        self._watch = LoopWatch(_SWEEP.total_seconds())
        self._most_connections = most_connections
        self._connections: set[ClientConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Begins to listen; OSError if the address cannot be bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ClientConnection(self), address.host, address.port, backlog=_BACKLOG
        )

    async def handle(self, request: ClientRequest) -> Answer:
        """Serves one request."""
        self.last_request_at = request.arrived
        self.in_progress += 1
        try:
            await self._watch.settle()
            if self.refuses_requests:
                # Read whole first: a close with unread bytes resets the answer.
                await request.read_body(_LARGEST_UNSERVED, _LARGEST_UNSERVED)
                return own_answer(503, "leaving", request.attempt_id, 0.1, closes=True)
            return await self._handle(request)
        finally:
            self.in_progress -= 1

    def may_run_concurrently(self, request: ClientRequest) -> bool:
        """Whether the request may run twice, and so before its turn."""
        return self._may_run_concurrently(request)

    def on_connection_made(self, connection: ClientConnection) -> None:
        """A client has connected."""
        self._connections.add(connection)
        if self._most_connections is not None and len(self._connections) > self._most_connections:
            self._make_room(connection)

    def on_connection_lost(self, connection: ClientConnection) -> None:
        """A client has disconnected."""
        self._connections.discard(connection)

    def close_idle(self) -> None:
        """Closes every connection on which no request is being served."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def set_limits(self, limits: Limits) -> None:
        """Applies the operator's limits for clients."""
        self.header_bytes = limits.header_bytes
        self.header_time = limits.header_time
        self.idle_time = limits.idle_time

    def _make_room(self, newcomer: ClientConnection) -> None:
        """Closes a connection, so that descriptors are left for connections to targets."""
        idle = [
            connection
            for connection in self._connections
            if connection is not newcomer and connection.is_idle and connection.head_since is None
        ]
        # Any client resends what was not read, so if no connection is idle the
        # new one is closed before it is read.
        if idle:
            min(idle, key=lambda connection: connection.quiet_since).close_if_idle()
        else:
            newcomer.abort()

    def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    async def run(self) -> None:
        """Closes connections that are idle or slow for too long; runs forever."""
        while True:
            await asyncio.sleep(_SWEEP.total_seconds())
            now = time.monotonic()
            self._watch.tick(now)
            idle_before = now - self.idle_time.total_seconds()
            head_before = now - self.header_time.total_seconds()
            for connection in list(self._connections):
                if connection.head_since is not None and connection.head_since < head_before:
                    connection.refuse_slow_head()
                elif connection.quiet_since < idle_before:
                    connection.close_if_idle()
