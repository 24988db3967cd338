"""How messages are encoded as frames on a connection between two peers.

A frame is a length, a kind, the number of the exchange it belongs to, and
its payload: a protobuf message, or raw bytes of a body.
"""

import enum
import struct
from collections.abc import Iterator
from typing import NamedTuple

__all__ = ["Frame", "FrameKind", "FrameReader", "pack_frame", "MAX_PAYLOAD_BYTES"]

_HEAD = struct.Struct("!IBI")
MAX_PAYLOAD_BYTES = 80 * 1024 * 1024


class FrameKind(enum.IntEnum):
    """What the payload of a frame is."""

    HEAD = 1  # RequestHead: a hop begins
    ANSWER = 2  # AnswerHead: the outcome of the hop
    BODY = 3  # bytes of a body that is not within its head
    BODY_END = 4  # the body is complete
    CREDIT = 5  # four bytes: so many more body bytes may come
    CANCEL = 6  # the sender of the hop has given it up
    RESET = 7  # the answer is aborted
    CALL = 8  # a message that expects a reply
    REPLY = 9  # the reply
    NOTIFICATION = 10  # a message that expects none
    PING = 11  # asks an idle peer for a pong
    PONG = 12  # the answer to a ping


class Frame(NamedTuple):
    """One received frame."""

    kind: int
    number: int
    payload: bytes


def pack_frame(kind: int, number: int, payload: bytes = b"") -> bytes:
    """The bytes of one frame."""
    return _HEAD.pack(len(payload), kind, number) + payload


class FrameReader:
    """Decodes frames from a byte stream."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Adds bytes and yields the frames that are complete.

        Raises ValueError for a frame above MAX_PAYLOAD_BYTES bytes.
        """
        buffer = self._buffer
        buffer += data
        place = 0
        try:
            while len(buffer) - place >= _HEAD.size:
                length, kind, number = _HEAD.unpack_from(buffer, place)
                # No peer of ours sends such a frame: the stream is corrupt.
                if length > MAX_PAYLOAD_BYTES:
                    raise ValueError(f"a frame of {length} bytes")
                end = place + _HEAD.size + length
                if len(buffer) < end:
                    break
                payload = bytes(buffer[place + _HEAD.size : end])
                place = end
                yield Frame(kind, number, payload)
        finally:
            del buffer[:place]
