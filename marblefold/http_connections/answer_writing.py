"""Writes streamed answers to a client."""

import asyncio
from collections.abc import Awaitable, Callable

from marblefold.errors import MeshError
from marblefold.http_connections.answer import Answer, pack_head
from marblefold.inner_protocol.body_pipe import BodyPipe
from marblefold.logs import log

__all__ = ["StreamedAnswer"]


class StreamedAnswer:
    """An answer whose body comes through a pipe, and how it goes to the client."""

    def __init__(
        self, answer: Answer, pipe: BodyPipe, closes: bool, is_chunked: bool, attempt_id: str
    ) -> None:
        """`closes` says that the connection ends behind it, `attempt_id` is for the log."""
        self._answer = answer
        self._pipe = pipe
        self._closes = closes
        self._is_chunked = is_chunked
        self._attempt_id = attempt_id
        self._is_waiting_for_client = False

    async def write(
        self, transport: asyncio.WriteTransport, drain: Callable[[], Awaitable[None]]
    ) -> bool:
        """Writes head and body as the body arrives; returns whether the answer is whole.

        One that is not must not look complete: the caller resets the connection.
        """
        transport.write(pack_head(self._answer, self._closes, self._is_chunked))
        try:
            async with asyncio.timeout_at(self._answer.deadline):
                await self._write_body(transport, drain)
        except TimeoutError:
            if self._is_waiting_for_client:
                self._log_end("deadline; the client reads slowly")
            else:
                self._log_end("deadline; the sender is silent")
            return False
        except (MeshError, ConnectionError) as error:
            self._log_end(str(error))
            return False
        return True

    async def _write_body(
        self, transport: asyncio.WriteTransport, drain: Callable[[], Awaitable[None]]
    ) -> None:
        while chunk := await self._pipe.read():
            if self._is_chunked:
                chunk = b"%x\r\n" % len(chunk) + chunk + b"\r\n"
            transport.write(chunk)
            self._is_waiting_for_client = True
            await drain()
            self._is_waiting_for_client = False
        if self._is_chunked:
            transport.write(b"0\r\n\r\n")

    def _log_end(self, reason: str) -> None:
        log.info("answer broken off", attempt=self._attempt_id, reason=reason)
