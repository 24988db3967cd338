"""The kept streams to one target."""

import asyncio
import time

from marblefold.breakdowns import Breakdown
from marblefold.http_streams.target_stream import StreamState, TargetStream
from marblefold.node_config.reading import Address

__all__ = ["TargetStreams"]

# A target that forgot a stream is thought to forget the next ones after half
# of that rest; the memory of it fades, since such troubles pass.
_LEAST_REST = 0.05
_REST_SHARE = 0.5
_FADE_SECONDS = 20.0


class TargetStreams:
    """Hands out kept streams, newest first, and opens new ones when it must."""

    def __init__(self, address: Address, connect_seconds: float = 0.25) -> None:
        # When the target last gave any sign of life.
        self.heard_at = time.monotonic()
        self._address = address
        self._connect_seconds = connect_seconds
        self._kept: list[TargetStream] = []
        self._used = 0
        self._forgets_after = 1e9
        self._forgot_at = 0.0

    @property
    def idle_count(self) -> int:
        """How many streams are kept for use."""
        return len(self._kept)

    @property
    def open_count(self) -> int:
        """How many streams are open, in use or kept."""
        return len(self._kept) + self._used

    @property
    def oldest_rest(self) -> float:
        """Since when the stream that rests longest has been at rest."""
        return self._kept[0].rested_since

    async def take(self, longest_rest: float | None = None) -> TargetStream:
        """A stream ready for a request; a Breakdown means nothing was sent."""
        now = time.monotonic()
        longest = self._safe_rest(now)
        if longest_rest is not None:
            longest = min(longest, longest_rest)
        # The newest is the last: where it rested too long, all have.
        if self._kept and now - self._kept[-1].rested_since <= longest:
            stream = self._kept.pop()
            if stream.state is StreamState.IDLE and now < stream.usable_until:
                self._used += 1
                return stream
            stream.close()
            return await self.take(longest_rest)
        return await self._open_used()

    async def is_reachable(self) -> bool:
        """Whether the target still takes a new stream; it is kept for use."""
        try:
            stream = await self._open()
        except Breakdown:
            return False
        self._kept.append(stream)
        return True

    def give_back(self, stream: TargetStream) -> None:
        """Keeps the stream if its answer was read whole and it may be kept."""
        self._used -= 1
        if stream.finish():
            self._kept.append(stream)

    def discard(self, stream: TargetStream) -> None:
        """Ends a stream that was in use."""
        self._used -= 1
        # Closed by the target behind a rest, without a byte: it was forgotten.
        if stream.state is StreamState.CLOSED and not stream.has_answered:
            if stream.rest_before > _LEAST_REST:
                self._forgets_after = max(_LEAST_REST, stream.rest_before * _REST_SHARE)
                self._forgot_at = time.monotonic()
        stream.close()

    def close_stale(self) -> None:
        """Ends the kept streams that would not be used again."""
        now = time.monotonic()
        kept, self._kept = self._kept, []
        longest = self._safe_rest(now)
        for stream in kept:
            is_good = stream.state is StreamState.IDLE and now < stream.usable_until
            if is_good and now - stream.rested_since <= longest:
                self._kept.append(stream)
            else:
                stream.close()

    def close_oldest(self) -> None:
        """Ends the kept stream that has rested longest."""
        self._kept.pop(0).close()

    def close(self) -> None:
        """Ends the kept streams."""
        kept, self._kept = self._kept, []
        for stream in kept:
            stream.close()

    def _safe_rest(self, now: float) -> float:
        if now - self._forgot_at > _FADE_SECONDS:
            return 1e9
        return self._forgets_after

    async def _open_used(self) -> TargetStream:
        # Counted before it is open: a descriptor is taken from here on.
        self._used += 1
        try:
            return await self._open()
        except BaseException:
            self._used -= 1
            raise

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
