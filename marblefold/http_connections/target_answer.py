"""What the head of a target's answer states about the request and the connection."""

from typing import NamedTuple

from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader

from marblefold import wire_names
from marblefold.http_connections.heads import find_header

__all__ = [
    "TargetAnswer",
    "has_length",
    "is_between_answers",
    "kept_seconds",
    "says_not_executed",
]

# An idle connection is dropped so many seconds before the target would close it.
_KEEP_MARGIN_SECONDS = 0.7
_LONGEST_KEPT_SECONDS = 30.0
# Read by our own parser, never written to a target.
_INTERIM_ANSWER = b"HTTP/1.1 100 Continue\r\n\r\n"


class TargetAnswer(NamedTuple):
    """The head of a target's answer, with its body still to be read."""

    status: int
    reason: str
    headers: tuple
    payload: StreamReader
    is_not_executed: bool


def says_not_executed(message) -> bool:
    """Whether the target states that it did not run the request and never will."""
    return (
        message.code == 421 or find_header(message.raw_headers, wire_names.NOT_EXECUTED) is not None
    )


def has_length(message) -> bool:
    """Whether the end of the answer is framed; otherwise it ends with the connection."""
    if message.code in (204, 304) or message.chunked:
        return True
    return "Content-Length" in message.headers


def kept_seconds(message) -> float:
    """For how many seconds the connection may be reused after this answer."""
    if message.should_close or not has_length(message):
        return 0.0
    kept = _LONGEST_KEPT_SECONDS
    header = message.headers.get("Keep-Alive", "")
    for part in header.split(","):
        name, _sign, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            kept = min(kept, float(value) - _KEEP_MARGIN_SECONDS)
    return kept


def is_between_answers(parser) -> bool:
    """Whether the parser of a connection holds no part of a further answer.

    The parser does not expose this, so it is fed a complete interim answer: buffered
    bytes would corrupt that one, which would then have another status, have headers,
    or not be parsed at all.
    """
    try:
        messages, _upgraded, _tail = parser.feed_data(_INTERIM_ANSWER)
    except (HttpProcessingError, ValueError):
        return False
    if len(messages) != 1:
        return False
    message = messages[0][0]
    return message.code == 100 and not message.raw_headers
