"""Creates the parser of a client connection, which is aiohttp's."""

import asyncio

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_parser import HttpRequestParser

from marblefold.http_connections.heads import max_header_count

__all__ = ["make_request_parser"]

_BUFFER_BYTES = 128 * 1024
# The connection measures heads by the limit in force (HeadLimit), which may change meanwhile.
_MAX_HEAD_BYTES = 2**31 - 1


def make_request_parser(
    protocol: BaseProtocol, loop: asyncio.AbstractEventLoop
) -> HttpRequestParser:
    """Returns a parser that leaves the size of heads to its caller."""
    return HttpRequestParser(
        protocol,
        loop,
        _BUFFER_BYTES,
        max_line_size=_MAX_HEAD_BYTES,
        max_field_size=_MAX_HEAD_BYTES,
        max_headers=max_header_count(_MAX_HEAD_BYTES),
        # A body is forwarded byte for byte, whatever its encoding.
        auto_decompress=False,
    )
