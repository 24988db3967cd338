"""Interprets the head of a target's answer: the request's outcome and connection reuse."""

from typing import NamedTuple

from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader

from marblefold import wire_names
from marblefold.http_connections.heads import find_header

__all__ = [
    "TargetAnswer",
    "has_length",
    "is_between_answers",
    "reuse_seconds",
    "says_not_executed",
]

# Reuse of a connection ends so many seconds before the target would close it.
_REUSE_MARGIN_SECONDS = 0.7
_MAX_REUSE_SECONDS = 30.0
# Fed to the parser of a connection to test it; never sent to a target.
_INTERIM_ANSWER = b"HTTP/1.1 100 Continue\r\n\r\n"


class TargetAnswer(NamedTuple):
    """The head of a target's answer, with its body still to be read."""

    status: int
    reason: str
    headers: tuple
    payload: StreamReader
    is_not_executed: bool


def says_not_executed(message) -> bool:
    """Whether the target states that it did not execute the request and never will."""
    return (
        message.code == 421 or find_header(message.raw_headers, wire_names.NOT_EXECUTED) is not None
    )


def has_length(message) -> bool:
    """Whether the answer is framed; otherwise its body ends with the connection."""
    if message.code in (204, 304) or message.chunked:
        return True
    return "Content-Length" in message.headers


def reuse_seconds(message) -> float:
    """Returns for how many seconds the connection may be reused after this answer."""
    if message.should_close or not has_length(message):
        return 0.0
    seconds = _MAX_REUSE_SECONDS
    header = message.headers.get("Keep-Alive", "")
    for part in header.split(","):
        name, _separator, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            seconds = min(seconds, float(value) - _REUSE_MARGIN_SECONDS)
    return seconds


def is_between_answers(parser) -> bool:
    """Whether the parser holds no buffered bytes of a further answer.

    The parser does not expose its buffer, so it is fed a complete interim answer:
    buffered bytes would corrupt it, so that it is parsed with another status, with
    headers, or not at all.
    """
    try:
        messages, _upgraded, _tail = parser.feed_data(_INTERIM_ANSWER)
    except (HttpProcessingError, ValueError):
        return False
    if len(messages) != 1:
        return False
    message = messages[0][0]
    return message.code == 100 and not message.raw_headers
