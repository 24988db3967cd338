"""A request as a client sent it."""

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


_HELD_CHUNK = 16 * 1024


class BodyTooLarge(Exception):
    """The body is larger than the operator's limit."""


class ClientRequest:
    """The head of a request, and its body as far as it has come."""

    def __init__(self, message, payload, arrived: float, write_continue: Callable) -> None:
        self.method: str = message.method
        self.path: str = message.path
        self.arrived = arrived
        self.headers = message.raw_headers
        self.closes: bool = message.should_close
        self.is_http_1_0 = message.version < (1, 1)
        self.host = message.headers.get("Host", "")
        self.attempt_id = message.headers.get("Attempt-Id", "")
        self.body_length = int(message.headers.get("Content-Length", -1))
        self.has_body = payload is not EMPTY_PAYLOAD
        self.is_upgrade: bool = message.upgrade
        self._payload = payload
        self._wants_continue = message.headers.get("Expect", "").lower() == "100-continue"
        self._write_continue = write_continue
        self._taken = 0

    @property
    def deadline_ms(self) -> float | None:
        """How long the client waits, in milliseconds, or None without a valid header."""
        text = find_header(self.headers, wire_names.DEADLINE_MS)
        try:
            value = float(text) if text is not None else None
        except ValueError:
            return None
        return value if value is not None and 0 <= value < 1e10 else None

    @property
    def is_body_complete(self) -> bool:
        """Whether nothing of the body is still to come."""
        return not self.has_body or self._payload.at_eof()

    def header_block(self) -> bytes:
        """The header lines to forward."""
        return make_header_block(self.headers, UNFORWARDED_REQUEST_HEADERS)

    async def read_chunk(self, most: int) -> bytes:
        """The next part of the body; empty at its end.

        Raises BodyTooLarge above `most` bytes in all, and ConnectionError if the body
        is malformed or the client is lost.
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
        self._taken += len(chunk)
        if self._taken > most:
            raise BodyTooLarge()
        return chunk

    async def read_body(self, bound: int, most: int) -> tuple[bytes, bool]:
        """Reads about `bound` bytes of the body; returns them and whether that is all.

        Raises BodyTooLarge above `most` bytes, and ConnectionError if the body is
        malformed or the client is lost.
        """
        if not self.has_body:
            return b"", True
        if self.body_length > most:
            raise BodyTooLarge()
        parts: list[bytes] = []
        size = 0
        while size < bound:
            chunk = await self.read_chunk(most)
            if not chunk:
                return b"".join(parts), True
            parts.append(chunk)
            size += len(chunk)
        return b"".join(parts), self.is_body_complete


class BufferedRequest:
    """A request with a buffered body, for one attempt to send it."""

    def __init__(self, request: ClientRequest, body: bytes) -> None:
        self.method = request.method
        self.host = request.host
        self.path = request.path
        self._body = body
        self._place = 0

    async def read_chunk(self, _most: int) -> bytes:
        """The next part of the body; empty at its end."""
        chunk = self._body[self._place : self._place + _HELD_CHUNK]
        self._place += len(chunk)
        return chunk


# What a hop sends: the request as it is read, or one whose body is held.
ForwardedRequest = ClientRequest | BufferedRequest
