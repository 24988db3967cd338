"""Keeps one outgoing stream to each peer, opened when it is first wanted."""

import asyncio
import time

from marblefold.breakdowns import Breakdown
from marblefold.inner_protocol.peer_connection import PeerConnection, StreamOwner
from marblefold.node_config.reading import Address

__all__ = ["PeerBook"]

# A peer that could not be reached is not tried again for so long.
_SHUN_SECONDS = 0.25


class PeerBook:
    """The outgoing streams of a process."""

    def __init__(
        self, owner: StreamOwner, connect_seconds: float = 0.5, keep_alive: int = 1,
    ) -> None:
        self._owner = owner
        self._keep_alive = keep_alive
        self._connect_seconds = connect_seconds
        self._streams: dict[str, PeerConnection] = {}
        self._connecting: dict[str, asyncio.Task] = {}
        self._shunned_until: dict[str, float] = {}

    def find(self, peer: str) -> PeerConnection | None:
        """The open stream to the peer, if there is one now."""
        stream = self._streams.get(peer)
        return stream if stream is not None and stream.is_open else None

    async def reach(self, peer: str) -> PeerConnection:
        """An open stream to the peer, or a Breakdown if it cannot be had soon."""
        stream = self.find(peer)
        if stream is not None:
            return stream
        if time.monotonic() < self._shunned_until.get(peer, 0.0):
            raise Breakdown("connect", "lately out of reach", peer)
        task = self._connecting.get(peer)
        # Many requests may want the same peer at once: one attempt serves all.
        if task is None:
            task = asyncio.get_running_loop().create_task(self._connect(peer))
            self._connecting[peer] = task
            task.add_done_callback(lambda done: self._note_connected(peer, done))
        return await asyncio.shield(task)

    def streams(self) -> list[PeerConnection]:
        """The streams that are open now."""
        return [stream for stream in self._streams.values() if stream.is_open]

    def drop(self, peer: str) -> None:
        """Ends the stream to a peer that is gone."""
        stream = self._streams.pop(peer, None)
        if stream is not None:
            stream.close()

    def drop_idle(self, peer: str) -> None:
        """The peer is thought lost: what is sent next must not go into the dark.

        A fresh connection that does not come up is certain: nothing was sent.
        """
        stream = self._streams.get(peer)
        if stream is not None and stream.is_idle:
            self.drop(peer)

    def close(self) -> None:
        """Ends all streams."""
        for peer in list(self._streams):
            self.drop(peer)

    def _note_connected(self, peer: str, done: asyncio.Task) -> None:
        self._connecting.pop(peer, None)
        # Whoever wanted the stream may have left; its breakdown is then moot.
        if not done.cancelled():
            done.exception()

    async def _connect(self, peer: str) -> PeerConnection:
        address = Address.parse(peer)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_seconds):
                _transport, stream = await loop.create_connection(
                    lambda: PeerConnection(self._owner, peer, self._keep_alive), address.host, address.port
                )
        except (OSError, TimeoutError) as error:
            self._shunned_until[peer] = time.monotonic() + _SHUN_SECONDS
            raise Breakdown("connect", str(error) or "no answer", peer) from error
        self._shunned_until.pop(peer, None)
        self._streams[peer] = stream
        return stream
