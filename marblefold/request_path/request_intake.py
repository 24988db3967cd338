"""What a proxy reads of a client's request before it sends a hop: checks, deadline, body."""

import asyncio
import time

from marblefold.configuration.rows import Route
from marblefold.http_connections.answer import Answer, own_answer
from marblefold.http_connections.client_request import ClientRequest

__all__ = ["buffer_body", "find_deadline", "find_malformed"]

# A body of up to this size is buffered, so that it can be sent again.
_MAX_BUFFERED_BODY_BYTES = 512 * 1024
_DEFAULT_DEADLINE_SECONDS = 600.0
_MAX_ATTEMPT_ID_LENGTH = 200


def find_malformed(request: ClientRequest) -> Answer | None:
    """Returns the answer to a request that no proxy forwards, or None."""
    if request.is_upgrade or request.method == "CONNECT":
        return own_answer(400, "no such use of the connection", closes=True)
    attempt = request.attempt_id
    if not attempt or len(attempt) > _MAX_ATTEMPT_ID_LENGTH or not attempt.isascii():
        return own_answer(400, "no Attempt-Id")
    return None


def find_deadline(request: ClientRequest, route: Route) -> float:
    """Returns the deadline of the request, in monotonic seconds."""
    requested = request.deadline_ms
    seconds = requested / 1000.0 if requested is not None else _DEFAULT_DEADLINE_SECONDS
    return request.arrived + min(seconds, route.time_limit.total_seconds())


async def buffer_body(
    request: ClientRequest, max_bytes: int, deadline: float
) -> tuple[bytes, bool]:
    """Returns the buffered part of the body, and whether that is the whole body.

    Raises TimeoutError if the body is not received by the deadline (monotonic seconds),
    BodyTooLarge if it is larger than `max_bytes`, and ConnectionError if the client disconnects.
    """
    if not request.has_body:
        return b"", True
    async with asyncio.timeout(max(0.0, deadline - time.monotonic())):
        return await request.read_body(_MAX_BUFFERED_BODY_BYTES, max_bytes)
