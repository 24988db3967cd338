"""One HTTP call on a connection of its own, as plain as clients, targets and operators are."""

import asyncio
from typing import NamedTuple

__all__ = ["HttpResponse", "send_request"]


class HttpResponse(NamedTuple):
    """An answer; status 0 if none came, or not a whole one."""

    status: int
    head: bytes
    body: bytes


_NO_RESPONSE = HttpResponse(0, b"", b"")


async def send_request(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: tuple[str, ...] = (),
    body: bytes = b"",
    timeout_seconds: float = 1.0,
) -> HttpResponse:
    """The answer to the call, or one with status 0."""
    writer = None
    try:
        async with asyncio.timeout(timeout_seconds):
            reader, writer = await asyncio.open_connection(*address)
            lines = [
                f"{method} {path} HTTP/1.1",
                "Host: shop",
                "Connection: close",
                f"Content-Length: {len(body)}",
                *headers,
            ]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head, _separator, response_body = (await reader.read(-1)).partition(b"\r\n\r\n")
            return HttpResponse(int(head.split(b" ", 2)[1]), head, response_body)
    except (OSError, TimeoutError, ValueError, IndexError):
        return _NO_RESPONSE
    finally:
        if writer is not None:
            writer.close()
