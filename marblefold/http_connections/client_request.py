"""The request of a client: its head, and its body as it arrives or buffered."""

from collections.abc import Callable

from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD

from marblefold import wire_names
from marblefold.http_connections.heads import (
    UNFORWARDED_REQUEST_HEADERS,
    find_header,
    make_header_block,
)

__all__ = ["BodyTooLarge", "ClientRequest", "BufferedRequest", "ForwardedRequest"]


_BUFFERED_CHUNK_BYTES = 16 * 1024


class BodyTooLarge(Exception):
    """The body is larger than the operator's limit."""


class ClientRequest:
    """The head of a request, and its body, which may still be arriving."""

    def __init__(self, message, payload, arrived: float, write_continue: Callable) -> None:
        self.method: str = message.method
        self.path: str = message.path
        self.arrived = arrived
        self.headers = message.raw_headers
        # The parser takes nothing behind a request that asks for another protocol.
        self.closes: bool = message.should_close or message.upgrade
        self.is_http_1_0 = message.version < (1, 1)
        self.host = message.headers.get("Host", "")
        self.attempt_id = message.headers.get("Attempt-Id", "")
        self.body_length = int(message.headers.get("Content-Length", -1))
        self.has_body = payload is not EMPTY_PAYLOAD
        # A server may pass over an upgrade; some clients offer HTTP/2 with every request.
        offered = message.headers.get("Upgrade", "").lower()
        self.is_upgrade: bool = message.upgrade and offered != "h2c"
        self._payload = payload
        self._wants_continue = message.headers.get("Expect", "").lower() == "100-continue"
        self._write_continue = write_continue
        self._received_bytes = 0

    @property
    def deadline_ms(self) -> float | None:
        """How long the client waits in milliseconds, or None without a valid header."""
        text = find_header(self.headers, wire_names.DEADLINE_MS)
        try:
            value = float(text) if text is not None else None
        except ValueError:
            return None
        return value if value is not None and 0 <= value < 1e10 else None

    @property
    def is_body_complete(self) -> bool:
        """Whether the whole body has arrived and been read."""
        return not self.has_body or self._payload.at_eof()

    def header_block(self) -> bytes:
        """Returns the header lines to forward."""
        return make_header_block(self.headers, UNFORWARDED_REQUEST_HEADERS)

    async def read_chunk(self, max_bytes: int) -> bytes:
        """Returns the next part of the body, or b"" at its end.

        Raises BodyTooLarge if the body exceeds `max_bytes` in total, and ConnectionError
        if it is malformed or the connection is lost.
        """
        if not self.has_body:
            return b""
        if self._wants_continue:
            self._wants_continue = False
            self._write_continue()
        try:
            chunk = await self._payload.readany()
        except HttpProcessingError as error:
            raise ConnectionError(str(error)) from error
        self._received_bytes += len(chunk)
        if self._received_bytes > max_bytes:
            raise BodyTooLarge()
        return chunk

    async def read_body(self, enough_bytes: int, max_bytes: int) -> tuple[bytes, bool]:
        """Reads the body until `enough_bytes` have been read or it ends.

        Returns what was read, and whether that is the whole body.  Raises BodyTooLarge
        if the body exceeds `max_bytes`, and ConnectionError if it is malformed or the
        connection is lost.
        """
        if not self.has_body:
            return b"", True
        if self.body_length > max_bytes:
            raise BodyTooLarge()
        parts: list[bytes] = []
        size = 0
        while size < enough_bytes:
            chunk = await self.read_chunk(max_bytes)
            if not chunk:
                return b"".join(parts), True
            parts.append(chunk)
            size += len(chunk)
        return b"".join(parts), self.is_body_complete


class BufferedRequest:
    """A request with a buffered body; one instance serves one attempt to send it."""

    def __init__(self, request: ClientRequest, body: bytes) -> None:
        self.method = request.method
        self.host = request.host
        self.path = request.path
        self._body = body
        self._offset = 0

    async def read_chunk(self, _max_bytes: int) -> bytes:
        """Returns the next part of the body, or b"" at its end."""
        chunk = self._body[self._offset : self._offset + _BUFFERED_CHUNK_BYTES]
        self._offset += len(chunk)
        return chunk


# What a hop forwards: a request that is still being read, or one with a buffered body.
ForwardedRequest = ClientRequest | BufferedRequest
