"""Writes a request to a target: its head, and the body behind it."""

from typing import Protocol

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.http_connections.target_connection import TargetConnection

__all__ = ["BodySource", "pack_request", "send_remaining_body"]


class BodySource(Protocol):
    """Where the body of a request is read from."""

    async def read(self) -> bytes: ...


def pack_request(head) -> bytes:
    """Returns the bytes of the request for the target, with the body received so far."""
    length = b""
    if head.body_length >= 0:
        length = b"Content-Length: %d\r\n" % head.body_length
    elif head.body_follows:
        length = b"Transfer-Encoding: chunked\r\n"
    first = head.body
    if head.body_follows and head.body_length < 0 and first:
        first = b"%x\r\n" % len(first) + first + b"\r\n"
    caller = b""
    # The calling service is unknown if no target runs beside the client.
    if head.caller_service:
        caller = wire_names.CALLER_SERVICE + b": " + head.caller_service.encode() + b"\r\n"
    expected = b""
    if head.expected_instance:
        expected = wire_names.EXPECTED_INSTANCE + b": " + head.expected_instance.encode() + b"\r\n"
    return b"".join(
        (
            head.method.encode(),
            b" ",
            head.path,
            b" HTTP/1.1\r\n",
            head.header_block,
            length,
            wire_names.DEADLINE_MS,
            b": %d\r\n" % head.deadline_left_ms,
            expected,
            caller,
            b"\r\n",
            first,
        )
    )


async def send_remaining_body(connection: TargetConnection, source: BodySource, head) -> None:
    """Sends the part of the body that was not written with the head.

    Raises MeshError if the body has another length than its head states, and MeshError or
    ConnectionError if a connection is lost.
    """
    is_chunked = head.body_length < 0
    sent = len(head.body)
    while chunk := await source.read():
        sent += len(chunk)
        if is_chunked:
            chunk = b"%x\r\n" % len(chunk) + chunk + b"\r\n"
        await connection.send(chunk)
    if is_chunked:
        await connection.send(b"0\r\n\r\n")
    elif sent != head.body_length:
        # A target that answered early would read the next request on this connection as
        # the rest of this body.
        raise MeshError("body", f"{sent} bytes of {head.body_length}")
