"""Credit-based flow control for a body on a shared connection.

Connections between peers carry many exchanges, so a slow reader of one body must
not block the others: its sender may send only as many bytes as the reader granted.
"""

import asyncio
from collections import deque

from marblefold.errors import MeshError

__all__ = ["BodyPipe", "INITIAL_CREDIT_BYTES"]

INITIAL_CREDIT_BYTES = 256 * 1024


class BodyPipe:
    """The receiving end of a body: chunks are fed in, and one reader consumes them."""

    def __init__(self, on_read=None) -> None:
        self._chunks: deque[bytes] = deque()
        self._waiter: asyncio.Future | None = None
        self._is_ended = False
        self._error: MeshError | None = None
        self._on_read = on_read
        # Bytes of the body that have arrived, read or not.
        self.received_bytes = 0

    def feed(self, chunk: bytes) -> None:
        """Appends a chunk."""
        self._chunks.append(chunk)
        self.received_bytes += len(chunk)
        self._wake()

    def finish(self) -> None:
        """Marks the body as complete."""
        self._is_ended = True
        self._wake()

    def fail(self, error: MeshError) -> None:
        """Marks the body as incomplete: `read` raises the error after the last chunk."""
        self._error = error
        self._wake()

    @property
    def is_ended(self) -> bool:
        """Whether the whole body has arrived, read or not."""
        return self._is_ended

    async def read(self) -> bytes:
        """Returns the next chunk, or b"" at the end of a complete body.

        Raises the MeshError given to `fail` after the last chunk of an incomplete body.
        """
        while not self._chunks:
            if self._is_ended:
                return b""
            if self._error is not None:
                raise self._error
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        chunk = self._chunks.popleft()
        if self._on_read is not None:
            self._on_read(len(chunk))
        return chunk

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
