"""Keeps one outgoing stream to each mate, opened when it is first wanted."""

import asyncio
import time

from marblefold.breakdowns import Breakdown
from marblefold.inner_protocol.mate_stream import MateStream, StreamOwner
from marblefold.node_config.reading import Address

__all__ = ["MateBook"]

# A mate that could not be reached is not tried again for so long.
_SHUN_SECONDS = 0.25


class MateBook:
    """The outgoing streams of a process."""

    def __init__(
        self, owner: StreamOwner, connect_seconds: float = 0.5, keep_alive: int = 1,
    ) -> None:
        self._owner = owner
        self._keep_alive = keep_alive
        self._connect_seconds = connect_seconds
        self._streams: dict[str, MateStream] = {}
        self._connecting: dict[str, asyncio.Task] = {}
        self._shunned_until: dict[str, float] = {}

    def find(self, mate: str) -> MateStream | None:
        """The open stream to the mate, if there is one now."""
        stream = self._streams.get(mate)
        return stream if stream is not None and stream.is_open else None

    async def reach(self, mate: str) -> MateStream:
        """An open stream to the mate, or a Breakdown if it cannot be had soon."""
        stream = self.find(mate)
        if stream is not None:
            return stream
        if time.monotonic() < self._shunned_until.get(mate, 0.0):
            raise Breakdown("connect", "lately out of reach", mate)
        task = self._connecting.get(mate)
        # Many requests may want the same mate at once: one attempt serves all.
        if task is None:
            task = asyncio.get_running_loop().create_task(self._connect(mate))
            self._connecting[mate] = task
            task.add_done_callback(lambda done: self._note_connected(mate, done))
        return await asyncio.shield(task)

    def streams(self) -> list[MateStream]:
        """The streams that are open now."""
        return [stream for stream in self._streams.values() if stream.is_open]

    def drop(self, mate: str) -> None:
        """Ends the stream to a mate that is gone."""
        stream = self._streams.pop(mate, None)
        if stream is not None:
            stream.close()

    def drop_idle(self, mate: str) -> None:
        """The mate is thought lost: what is sent next must not go into the dark.

        A fresh connection that does not come up is certain: nothing was sent.
        """
        stream = self._streams.get(mate)
        if stream is not None and stream.is_idle:
            self.drop(mate)

    def close(self) -> None:
        """Ends all streams."""
        for mate in list(self._streams):
            self.drop(mate)

    def _note_connected(self, mate: str, done: asyncio.Task) -> None:
        self._connecting.pop(mate, None)
        # Whoever wanted the stream may have left; its breakdown is then moot.
        if not done.cancelled():
            done.exception()

    async def _connect(self, mate: str) -> MateStream:
        address = Address.parse(mate)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_seconds):
                _transport, stream = await loop.create_connection(
                    lambda: MateStream(self._owner, mate, self._keep_alive), address.host, address.port
                )
        except (OSError, TimeoutError) as error:
            self._shunned_until[mate] = time.monotonic() + _SHUN_SECONDS
            raise Breakdown("connect", str(error) or "no answer", mate) from error
        self._shunned_until.pop(mate, None)
        self._streams[mate] = stream
        return stream
