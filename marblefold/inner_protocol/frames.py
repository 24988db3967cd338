"""How messages are cut into frames on a connection between two peers.

A frame is a length, a kind, the number of the exchange it belongs to, and
its payload: a protobuf message, or raw bytes of a body.
"""

import enum
import struct
from collections.abc import Iterator
from typing import NamedTuple

__all__ = ["Frame", "FrameKind", "FrameReader", "pack_frame", "LARGEST_PAYLOAD"]

_HEAD = struct.Struct("!IBI")
LARGEST_PAYLOAD = 80 * 1024 * 1024


class FrameKind(enum.IntEnum):
    """What the payload of a frame is."""

    HEAD = 1  # RequestHead: a hop begins
    ANSWER = 2  # AnswerHead: the guard's word on it
    BODY = 3  # bytes of a body that is not within its head
    BODY_END = 4  # the body is whole
    CREDIT = 5  # four bytes: so many more body bytes may come
    CANCEL = 6  # the sender of the hop has given it up
    RESET = 7  # the answer breaks off here
    CALL = 8  # a message that wants a reply
    REPLY = 9  # the reply
    TELL = 10  # a message that wants none
    PING = 11  # are you there?
    PONG = 12  # I am


class Frame(NamedTuple):
    """One frame as it came."""

    kind: int
    number: int
    payload: bytes


def pack_frame(kind: int, number: int, payload: bytes = b"") -> bytes:
    """The bytes of one frame."""
    return _HEAD.pack(len(payload), kind, number) + payload


class FrameReader:
    """Gathers bytes into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Takes in bytes and yields the frames that are whole by now."""
        buffer = self._buffer
        buffer += data
        place = 0
        try:
            while len(buffer) - place >= _HEAD.size:
                length, kind, number = _HEAD.unpack_from(buffer, place)
                # No peer of ours sends such a frame: the connection is garbled.
                if length > LARGEST_PAYLOAD:
                    raise ValueError(f"a frame of {length} bytes")
                end = place + _HEAD.size + length
                if len(buffer) < end:
                    break
                payload = bytes(buffer[place + _HEAD.size : end])
                place = end
                yield Frame(kind, number, payload)
        finally:
            del buffer[:place]
