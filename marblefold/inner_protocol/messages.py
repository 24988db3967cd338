"""Encodes protobuf messages with a leading byte that identifies their type."""

from marblefold.inner_protocol import messages_pb2 as kinds

__all__ = ["kinds", "pack_message", "unpack_message"]

_ORDER = (
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
_CODES = {kind: code for code, kind in enumerate(_ORDER)}


def pack_message(message) -> bytes:
    """The bytes of a message with its type; KeyError if the type is unknown."""
    return bytes((_CODES[type(message)],)) + message.SerializeToString()


def unpack_message(payload: bytes):
    """The message in the bytes; ValueError if they are malformed."""
    if not payload or payload[0] >= len(_ORDER):
        raise ValueError("no message of ours")
    try:
        return _ORDER[payload[0]].FromString(payload[1:])
    except Exception as error:
        raise ValueError(f"message cannot be read: {error}") from error
