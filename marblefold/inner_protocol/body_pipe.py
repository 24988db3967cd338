"""A body in transfer over a shared connection, limited by credit.

Connections between peers carry many exchanges, so a slow reader of one body must
not block the others: its sender may only send what the reader granted, in bytes.
"""

import asyncio
from collections import deque

from marblefold.errors import MeshError

__all__ = ["BodyPipe", "INITIAL_CREDIT_BYTES"]

INITIAL_CREDIT_BYTES = 256 * 1024


class BodyPipe:
    """The receiving end of a body: chunks are fed in, one reader takes them."""

    def __init__(self, on_read=None) -> None:
        self._chunks: deque[bytes] = deque()
        self._waiter: asyncio.Future | None = None
        self._ended = False
        self._broken: MeshError | None = None
        self._on_read = on_read
        # How many bytes of the body have arrived.
        self.received_bytes = 0

    def feed(self, chunk: bytes) -> None:
        """Appends a chunk."""
        self._chunks.append(chunk)
        self.received_bytes += len(chunk)
        self._wake()

    def finish(self) -> None:
        """The body is complete."""
        self._ended = True
        self._wake()

    def fail(self, error: MeshError) -> None:
        """The rest of the body will not come: `read` raises the error."""
        self._broken = error
        self._wake()

    @property
    def is_ended(self) -> bool:
        """Whether the whole body has arrived, read or not."""
        return self._ended

    async def read(self) -> bytes:
        """The next chunk, or b"" at the end of a complete body.

        Raises the MeshError of an incomplete body after its last chunk.
        """
        while not self._chunks:
            if self._ended:
                return b""
            if self._broken is not None:
                raise self._broken
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        chunk = self._chunks.popleft()
        if self._on_read is not None:
            self._on_read(len(chunk))
        return chunk

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
