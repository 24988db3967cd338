"""Encodes protobuf messages with a leading byte that identifies the message type."""

from marblefold.inner_protocol import messages_pb2 as kinds

__all__ = ["kinds", "pack_message", "unpack_message"]

_MESSAGE_TYPES = (
    kinds.TargetNotice,
    kinds.Follow,
    kinds.Feed,
    kinds.StoreCall,
    kinds.StoreAnswer,
    kinds.RegisterCall,
    kinds.RegisterAnswer,
    kinds.Accepted,
    kinds.Probe,
    kinds.RenewLease,
    kinds.LeaseGrant,
    kinds.Want,
    kinds.Entry,
    kinds.TrafficNotice,
    kinds.SpanBatch,
    kinds.TraceMark,
)
_TYPE_CODES = {message_type: code for code, message_type in enumerate(_MESSAGE_TYPES)}


def pack_message(message) -> bytes:
    """Returns the message as bytes with its type code; KeyError if the type is unknown."""
    return bytes((_TYPE_CODES[type(message)],)) + message.SerializeToString()


def unpack_message(payload: bytes):
    """Returns the decoded message; ValueError if the bytes are malformed."""
    if not payload or payload[0] >= len(_MESSAGE_TYPES):
        raise ValueError("unknown message type")
    try:
        return _MESSAGE_TYPES[payload[0]].FromString(payload[1:])
    except Exception as error:
        raise ValueError(f"malformed message: {error}") from error
