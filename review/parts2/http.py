"""A plain HTTP/1.1 client: one request on a connection, answers read whole."""

import asyncio
import contextlib
import time
from typing import NamedTuple


class Answer(NamedTuple):
    """An answer; status 0 if there was none, and `is_whole` false if it broke off."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    reason: str = ""


async def read_answer(reader: asyncio.StreamReader, is_head: bool = False) -> Answer:
    """Reads one answer; Answer with status 0 if the connection ends before its head is whole."""
    while True:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError) as error:
            return Answer(0, {}, b"", False, f"closed without an answer ({type(error).__name__})")
        first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        status = int(first.split(" ")[1])
        if status >= 200:
            break
    headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
    if is_head or status in (204, 304):
        return Answer(status, headers, b"", True)
    body = b""
    try:
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError):
        return Answer(status, headers, body, False, "answer broke off")
    return Answer(status, headers, body, True)


def pack(method: str, path: str, host: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a request with a length."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    host: str = "control",
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout: float = 1.0,
) -> Answer:
    """Sends one request on a new connection and returns its answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(pack(method, path, host, headers or {}, body))
            await writer.drain()
            return await read_answer(reader, method == "HEAD")
    except (OSError, TimeoutError) as error:
        return Answer(0, {}, b"", False, repr(error))
    finally:
        if writer is not None:
            writer.close()
            with contextlib.suppress(OSError):
                await asyncio.wait_for(asyncio.shield(writer.wait_closed()), 0.5)


class Record:
    """What was sent, answered and run, in order, for record.txt."""

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.lines: list[str] = []

    def note(self, text: str) -> None:
        self.lines.append(f"{time.monotonic() - self.began:9.3f} s  {text}")
