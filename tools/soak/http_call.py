"""One HTTP request on its own connection, as clients, targets and operators send it."""

import asyncio
from typing import NamedTuple

__all__ = ["HttpResponse", "make_body", "send_request"]


class HttpResponse(NamedTuple):
    """An HTTP response; status 0 stands for a missing or malformed one."""

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
    """Returns the response, or one with status 0 after an error or the timeout."""
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


def make_body(attempt: str, size: int) -> bytes:
    """Returns the body of a request, which its target can check."""
    unit = f"{attempt}|".encode()
    return (unit * (size // len(unit) + 1))[:size]
