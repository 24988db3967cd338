"""Accepts the streams of downstreams and looks after the quiet ones."""

import asyncio
import time
from datetime import timedelta
from typing import Awaitable, Callable

from marblefold.http_streams.answer import Answer
from marblefold.http_streams.downstream_request import DownstreamRequest
from marblefold.http_streams.downstream_stream import DownstreamStream
from marblefold.node_config.reading import Address

__all__ = ["DownstreamServer"]

_SWEEP = timedelta(milliseconds=500)
_BACKLOG = 1024


class DownstreamServer:
    """One listening address and the streams accepted at it."""

    def __init__(self, handle: Callable[[DownstreamRequest], Awaitable[Answer]]) -> None:
        self.is_leaving = False
        self.header_bytes = 16384
        self.idle_time = timedelta(seconds=15)
        self.header_time = timedelta(seconds=3)
        self.last_arrival = time.monotonic()
        self.in_progress = 0
        self._handle = handle
        self._streams: set[DownstreamStream] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Begins to listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: DownstreamStream(self), address.host, address.port, backlog=_BACKLOG
        )

    async def handle(self, request: DownstreamRequest) -> Answer:
        """Serves one request."""
        self.last_arrival = request.arrived
        self.in_progress += 1
        try:
            return await self._handle(request)
        finally:
            self.in_progress -= 1

    def on_made(self, stream: DownstreamStream) -> None:
        """A downstream has come."""
        self._streams.add(stream)

    def on_lost(self, stream: DownstreamStream) -> None:
        """A downstream has gone."""
        self._streams.discard(stream)

    def close_idle(self) -> None:
        """Closes every stream on which no request is being served."""
        for stream in list(self._streams):
            stream.close_if_idle()

    def stop(self) -> None:
        """Listens no longer."""
        if self._server is not None:
            self._server.close()

    async def run(self) -> None:
        """Closes the streams that are quiet or slow for too long, for ever."""
        while True:
            await asyncio.sleep(_SWEEP.total_seconds())
            now = time.monotonic()
            idle_before = now - self.idle_time.total_seconds()
            head_before = now - self.header_time.total_seconds()
            for stream in list(self._streams):
                if stream.head_since is not None and stream.head_since < head_before:
                    stream.refuse_slow_head()
                elif stream.quiet_since < idle_before:
                    stream.close_if_idle()
