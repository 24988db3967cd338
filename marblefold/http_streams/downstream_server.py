"""Accepts the streams of downstreams and looks after the quiet ones."""

import asyncio
import time
from datetime import timedelta
from typing import Awaitable, Callable

from marblefold.http_streams.answer import Answer, own_answer
from marblefold.http_streams.downstream_request import DownstreamRequest
from marblefold.http_streams.downstream_stream import DownstreamStream
from marblefold.node_config.reading import Address
from marblefold.operator_spec.rows import Limits

__all__ = ["DownstreamServer"]

_SWEEP = timedelta(milliseconds=500)
_BACKLOG = 1024
_LARGEST_UNSERVED = 64 * 1024 * 1024


class DownstreamServer:
    """One listening address and the streams accepted at it."""

    def __init__(
        self, handle: Callable[[DownstreamRequest], Awaitable[Answer]],
        most_streams: int | None = None,
    ) -> None:
        self.is_leaving = False
        # Late in leaving what still comes is refused, never begun.
        self.turns_away = False
        self.header_bytes = 16384
        self.idle_time = timedelta(seconds=15)
        self.header_time = timedelta(seconds=3)
        self.last_arrival = time.monotonic()
        self.in_progress = 0
        self._handle = handle
        self._most_streams = most_streams
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
            if self.turns_away:
                # Read whole first: a close with unread bytes resets the answer.
                await request.gather(_LARGEST_UNSERVED, _LARGEST_UNSERVED)
                return own_answer(503, "leaving", request.attempt_id, 0.1, closes=True)
            return await self._handle(request)
        finally:
            self.in_progress -= 1

    def on_made(self, stream: DownstreamStream) -> None:
        """A downstream has come."""
        self._streams.add(stream)
        if self._most_streams is not None and len(self._streams) > self._most_streams:
            self._make_room(stream)

    def on_lost(self, stream: DownstreamStream) -> None:
        """A downstream has gone."""
        self._streams.discard(stream)

    def close_idle(self) -> None:
        """Closes every stream on which no request is being served."""
        for stream in list(self._streams):
            stream.close_if_idle()

    def set_limits(self, limits: Limits) -> None:
        """What the operator's spec allows downstreams."""
        self.header_bytes = limits.header_bytes
        self.header_time = limits.header_time
        self.idle_time = limits.idle_time

    def _make_room(self, newcomer: DownstreamStream) -> None:
        """Streams to targets must never starve of descriptors."""
        idle = [
            stream for stream in self._streams
            if stream is not newcomer and stream.is_idle and stream.head_since is None]
        # What was not read is sent again by any downstream, so where nobody
        # rests the newcomer itself is turned away before it is read.
        if idle:
            min(idle, key=lambda stream: stream.quiet_since).close_if_idle()
        else:
            newcomer.turn_away()

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
