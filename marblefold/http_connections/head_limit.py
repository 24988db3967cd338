"""The operator's limit on the size of a request's head, as it holds at each moment."""

from aiohttp.http_exceptions import BadStatusLine, LineTooLong

from marblefold.http_connections.answer import Answer, own_answer

__all__ = ["HeadLimit", "refuse_malformed"]


def refuse_malformed(error: Exception) -> Answer:
    """Returns the answer to a head that is too large (431) or can't be parsed (400)."""
    is_too_long = isinstance(error, LineTooLong) and not isinstance(error, BadStatusLine)
    status = 431 if is_too_long else 400
    return own_answer(status, "the request cannot be read", closes=True)


class HeadLimit:
    """Measures the heads on one connection; a head that began before a change has the milder limit.

    Sizes are in bytes.
    """

    def __init__(self) -> None:
        # Bytes that arrived since the last complete head, outside of bodies.
        self._partial_bytes = 0
        self._limit_at_begin = 0

    def note_received(self, limit: int) -> None:
        """Notes that bytes arrived while the operator's limit is `limit`."""
        if not self._partial_bytes:
            self._limit_at_begin = limit

    def note_parsed(self, size: int, has_complete_head: bool, is_in_body: bool) -> None:
        """Notes what the bytes received last, `size` of them, have completed."""
        if has_complete_head or is_in_body:
            self._partial_bytes = 0
        else:
            self._partial_bytes += size

    def allows_partial(self, limit: int) -> bool:
        """Whether the incomplete head, if there is one, is within the limit so far."""
        return self._partial_bytes <= max(limit, self._limit_at_begin)

    def allows(self, message, limit: int) -> bool:
        """Whether a complete head is within the limit; `message` is aiohttp's."""
        size = sum(len(name) + len(value) + 4 for name, value in message.raw_headers)
        return max(size, len(message.path)) <= max(limit, self._limit_at_begin)
