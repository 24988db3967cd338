"""The trace context that travels with a request, and the priority of a trace.

The decision to keep a trace is made once, at the node where the request begins,
and travels with every hop, so that no other node decides again.
"""

import enum
import os
import re
from typing import NamedTuple

__all__ = [
    "KeepPriority",
    "TraceContext",
    "apply_sample_rate",
    "format_traceparent",
    "new_trace_id",
    "parse_traceparent",
    "shed_order",
]

_TRACEPARENT = re.compile(r"([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?")
_SAMPLED = 1
_HASH_RANGE = 2**32


class KeepPriority(enum.IntEnum):
    """Why a trace is kept, as a priority: under load, lower ones are shed first."""

    # Held only in the ring buffer of each node, until overwritten.
    NONE = 0
    SAMPLE = 1
    UPLOAD = 2
    ORDER = 3
    # Something went wrong with a request of the trace.
    MARKED = 4


class TraceContext(NamedTuple):
    """The ids of the trace and of the parent span, and the priority of the trace."""

    trace_id: bytes
    span_id: bytes
    keep: KeepPriority


def new_span_id() -> bytes:
    """Returns a random span id (8 bytes, never all zeros)."""
    return os.urandom(8).replace(b"\0", b"\1")


def new_trace_id() -> bytes:
    """Returns a random trace id (16 bytes, never all zeros)."""
    return os.urandom(16).replace(b"\0", b"\1")


def apply_sample_rate(trace_id: bytes, keep: KeepPriority, sample_rate: float) -> KeepPriority:
    """Applies the sample rate (0 to 1) to lookups; decides by the trace id alone."""
    if keep is not KeepPriority.SAMPLE:
        return keep
    is_sampled = int.from_bytes(trace_id[:4], "big") < sample_rate * _HASH_RANGE
    return KeepPriority.SAMPLE if is_sampled else KeepPriority.NONE


def shed_order(keep: int, trace_id: bytes) -> tuple[int, bytes]:
    """Sort key for shedding, lowest first; the same on every node."""
    return keep, trace_id[8:]


def parse_traceparent(text: str) -> tuple[bytes, bytes, bool] | None:
    """Returns trace id, parent id and sampled flag of a W3C traceparent; None if invalid."""
    match = _TRACEPARENT.fullmatch(text.strip())
    if match is None:
        return None
    version, trace_id, parent, flags, extra = match.groups()
    # W3C Trace Context: ff is invalid, and version 00 has no further fields.
    if version == "ff" or (version == "00" and extra):
        return None
    if not int(trace_id, 16) or not int(parent, 16):
        return None
    return bytes.fromhex(trace_id), bytes.fromhex(parent), bool(int(flags, 16) & _SAMPLED)


def format_traceparent(context: TraceContext) -> str:
    """Returns the traceparent value for requests made within this span."""
    flags = _SAMPLED if context.keep else 0
    return f"00-{context.trace_id.hex()}-{context.span_id.hex()}-{flags:02x}"
