"""Encodes and decodes the frames on a connection between two peers.

A frame consists of the length of its payload, its kind, the number of the exchange
it belongs to, and the payload: a protobuf message, or raw bytes of a body.
"""

import enum
import struct
from collections.abc import Iterator
from typing import NamedTuple

__all__ = ["Frame", "FrameKind", "FrameReader", "pack_frame", "MAX_PAYLOAD_BYTES"]

_HEADER = struct.Struct("!IBI")
MAX_PAYLOAD_BYTES = 80 * 1024 * 1024


class FrameKind(enum.IntEnum):
    """Identifies the payload of a frame."""

    HEAD = 1  # RequestHead: starts a hop
    ANSWER = 2  # AnswerHead: the outcome of the hop
    BODY = 3  # bytes of a body that its head does not contain
    BODY_END = 4  # the body is complete
    CREDIT = 5  # four bytes: how many more body bytes may be sent
    CANCEL = 6  # the sender of the hop cancels it
    RESET = 7  # the answer is aborted
    CALL = 8  # a message that expects a reply
    REPLY = 9  # the reply
    NOTIFICATION = 10  # a message that expects no reply
    PING = 11  # asks a peer that sends nothing for a pong
    PONG = 12  # the answer to a ping


class Frame(NamedTuple):
    """One received frame."""

    kind: int
    number: int
    payload: bytes


def pack_frame(kind: int, number: int, payload: bytes = b"") -> bytes:
    """Returns the encoded frame."""
    return _HEADER.pack(len(payload), kind, number) + payload


class FrameReader:
    """Decodes frames from a byte stream."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Adds received bytes and yields the frames that are complete.

        Raises ValueError for a payload larger than MAX_PAYLOAD_BYTES.
        """
        buffer = self._buffer
        buffer += data
        offset = 0
        try:
            while len(buffer) - offset >= _HEADER.size:
                length, kind, number = _HEADER.unpack_from(buffer, offset)
                # marblefold programs never send such a frame, so the stream is corrupt.
                if length > MAX_PAYLOAD_BYTES:
                    raise ValueError(f"frame payload of {length} bytes is too large")
                end = offset + _HEADER.size + length
                if len(buffer) < end:
                    break
                payload = bytes(buffer[offset + _HEADER.size : end])
                offset = end
                yield Frame(kind, number, payload)
        finally:
            del buffer[:offset]
