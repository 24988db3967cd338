"""Encodes protobuf messages with a leading byte that identifies the message type."""

from marblefold.inner_protocol import messages_pb2

__all__ = ["UnknownMessageType", "messages_pb2", "pack_message", "unpack_message"]

_MESSAGE_TYPES = (
    messages_pb2.TargetNotice,
    messages_pb2.Follow,
    messages_pb2.Feed,
    messages_pb2.StoreCall,
    messages_pb2.StoreAnswer,
    messages_pb2.RegisterCall,
    messages_pb2.RegisterAnswer,
    messages_pb2.Accepted,
    messages_pb2.Probe,
    messages_pb2.RenewLease,
    messages_pb2.LeaseGrant,
    messages_pb2.Want,
    messages_pb2.Entry,
    messages_pb2.TrafficNotice,
    messages_pb2.SpanBatch,
    messages_pb2.TraceMark,
)
_TYPE_CODES = {message_type: code for code, message_type in enumerate(_MESSAGE_TYPES)}


class UnknownMessageType(ValueError):
    """A message of a type that this version does not know; a newer version may send it."""


def pack_message(message) -> bytes:
    """Returns the message as bytes with its type code; KeyError if the type is unknown."""
    return bytes((_TYPE_CODES[type(message)],)) + message.SerializeToString()


def unpack_message(payload: bytes):
    """Returns the decoded message.

    Raises UnknownMessageType, or another ValueError if the bytes are malformed.
    """
    if not payload:
        raise ValueError("empty message")
    if payload[0] >= len(_MESSAGE_TYPES):
        raise UnknownMessageType(f"message type {payload[0]}")
    try:
        return _MESSAGE_TYPES[payload[0]].FromString(payload[1:])
    except Exception as error:
        raise ValueError(f"malformed message: {error}") from error
