"""Headers of requests and answers, and which of them a proxy forwards."""

from collections.abc import Iterable, Sequence

__all__ = [
    "find_header",
    "make_header_block",
    "max_header_count",
    "UNFORWARDED_REQUEST_HEADERS",
    "UNFORWARDED_ANSWER_HEADERS",
    "UNFORWARDED_HEAD_ANSWER_HEADERS",
]

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)
# Besides the hop-by-hop headers, those that the mesh handles or sets itself.
UNFORWARDED_REQUEST_HEADERS = _HOP_BY_HOP | {
    b"expect",
    b"deadline-ms",
    b"caller-service",
    b"expected-instance",
}
UNFORWARDED_ANSWER_HEADERS = _HOP_BY_HOP
# An answer to HEAD states the length of the body that GET would return.
UNFORWARDED_HEAD_ANSWER_HEADERS = _HOP_BY_HOP - {b"content-length"}

# A name of one letter without a value, as the size of a head is counted.
_MIN_HEADER_BYTES = len(b"a: \r\n")

RawHeaders = Sequence[tuple[bytes, bytes]]


def find_header(headers: RawHeaders, name: bytes) -> bytes | None:
    """Returns the first value of the header, or None; names are case-insensitive."""
    lowercase_name = name.lower()
    for key, value in headers:
        if key.lower() == lowercase_name:
            return value
    return None


def make_header_block(headers: RawHeaders, dropped: Iterable[bytes]) -> bytes:
    """Returns the header lines to forward, with duplicates and in order."""
    connection = find_header(headers, b"connection")
    # Headers named by Connection are hop-by-hop too.
    if connection is not None and connection.lower() not in (b"keep-alive", b"close"):
        dropped = set(dropped)
        dropped.update(name.strip().lower() for name in connection.split(b","))
    return b"".join(
        [name + b": " + value + b"\r\n" for name, value in headers if name.lower() not in dropped]
    )


def max_header_count(head_bytes: int) -> int:
    """Returns a number of headers that no head of up to this size exceeds."""
    return head_bytes // _MIN_HEADER_BYTES + 1
