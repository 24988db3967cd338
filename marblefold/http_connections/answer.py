"""The answer to a client, and the encoder of its status line and headers."""

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from marblefold import wire_names
from marblefold.inner_protocol.body_pipe import BodyPipe

__all__ = ["Answer", "own_answer", "pack_head"]

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


class Answer(NamedTuple):
    """An answer ready to be written; its body is in `body` or comes through `pipe`."""

    status: int
    reason: bytes = b""
    header_block: bytes = b""
    body: bytes = b""
    pipe: BodyPipe | None = None
    closes: bool = False
    # An answer to HEAD states a length but has no body.
    is_bodiless: bool = False
    # Called once the answer has been written or dropped.
    release: Callable[[], object] | None = None
    # Until when the body in `pipe` may be written, in seconds of the event loop's clock.
    deadline: float | None = None


def own_answer(
    status: int,
    text: str,
    attempt_id: str = "",
    retry_after: float | None = None,
    closes: bool = False,
) -> Answer:
    """Returns a plain text answer of the mesh itself; `retry_after` is in seconds."""
    block = b"Content-Type: text/plain\r\n"
    if attempt_id:
        block += wire_names.ATTEMPT_ID + b": " + attempt_id.encode("latin-1") + b"\r\n"
    if retry_after is not None:
        block += wire_names.RETRY_AFTER + b": %.3f\r\n" % max(0.001, retry_after)
    return Answer(status, header_block=block, body=text.encode() + b"\n", closes=closes)


def pack_head(answer: Answer, closes: bool, is_chunked: bool) -> bytes:
    """Returns the bytes of the status line and headers."""
    reason = answer.reason or _REASONS.get(answer.status, b"Unknown")
    parts = [b"HTTP/1.1 %d " % answer.status, reason, b"\r\n", answer.header_block]
    if is_chunked:
        parts.append(b"Transfer-Encoding: chunked\r\n")
    elif answer.status >= 200 and answer.status != 204 and not answer.is_bodiless:
        parts.append(b"Content-Length: %d\r\n" % len(answer.body))
    if closes:
        parts.append(b"Connection: close\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)
