"""The kept streams to the target beside this proxy."""

import asyncio
import time

from marblefold.breakdowns import Breakdown
from marblefold.http_streams.target_stream import StreamState, TargetStream
from marblefold.node_config.reading import Address

__all__ = ["TargetStreams"]


class TargetStreams:
    """Hands out kept streams, newest first, and opens new ones when it must."""

    def __init__(self, address: Address, connect_seconds: float = 0.25) -> None:
        # When the target last gave any sign of life.
        self.heard_at = time.monotonic()
        self._address = address
        self._connect_seconds = connect_seconds
        self._kept: list[TargetStream] = []

    async def take(self) -> TargetStream:
        """A stream ready for a request; a Breakdown means nothing was sent."""
        now = time.monotonic()
        while self._kept:
            stream = self._kept.pop()
            if stream.state is StreamState.IDLE and now < stream.usable_until:
                return stream
            stream.close()
        return await self._open()

    async def is_reachable(self) -> bool:
        """Whether the target still takes a new stream; it is kept for use."""
        try:
            stream = await self._open()
        except Breakdown:
            return False
        self._kept.append(stream)
        return True

    async def _open(self) -> TargetStream:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_seconds):
                _transport, stream = await loop.create_connection(
                    lambda: TargetStream(self._note_heard),
                    self._address.host, self._address.port)
        except (OSError, TimeoutError) as error:
            raise Breakdown(
                "connect to target", str(error) or "no answer", str(self._address)
            ) from error
        self._note_heard()
        return stream

    def _note_heard(self) -> None:
        self.heard_at = time.monotonic()

    def give_back(self, stream: TargetStream) -> None:
        """Keeps the stream if its answer was read whole and it may be kept."""
        if stream.finish():
            self._kept.append(stream)

    def close(self) -> None:
        """Ends the kept streams."""
        kept, self._kept = self._kept, []
        for stream in kept:
            stream.close()
