"""The trace context that travels with a request, and the priority of a trace.

The decision to keep a trace is made once, where the request begins, and
travels with every hop: no other node decides.
"""

import enum
import os
import re
from typing import NamedTuple

__all__ = [
    "Keep",
    "TraceContext",
    "format_traceparent",
    "keep_of",
    "parse_traceparent",
    "shed_order",
    "start_trace",
]

_TRACEPARENT = re.compile(r"([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?")
_SAMPLED = 1
_HASH_SPAN = 2**32


class Keep(enum.IntEnum):
    """Why a trace is kept, ordered by priority: under load lower ones are shed first."""

    # Only in the ring buffer of each node, until overwritten.
    NOT = 0
    SAMPLE = 1
    UPLOAD = 2
    ORDER = 3
    # Something went wrong with it.
    MARKED = 4


class TraceContext(NamedTuple):
    """Ids of the trace and of the parent span."""

    trace_id: bytes
    span_id: bytes
    keep: Keep


def new_span_id() -> bytes:
    """A random span id (8 bytes, never all zeros)."""
    return os.urandom(8).replace(b"\0", b"\1")


def start_trace() -> bytes:
    """A random trace id (16 bytes, never all zeros)."""
    return os.urandom(16).replace(b"\0", b"\1")


def keep_of(trace_id: bytes, keep: Keep, sample_rate: float) -> Keep:
    """Applies the sample rate (0 to 1) to lookups; depends on the trace id alone."""
    if keep is not Keep.SAMPLE:
        return keep
    is_in = int.from_bytes(trace_id[:4], "big") < sample_rate * _HASH_SPAN
    return Keep.SAMPLE if is_in else Keep.NOT


def shed_order(keep: int, trace_id: bytes) -> tuple[int, bytes]:
    """Sort key for shedding, lowest first; the same on every node."""
    return keep, trace_id[8:]


def parse_traceparent(text: str) -> tuple[bytes, bytes, bool] | None:
    """Trace id, parent id and sampled flag of a W3C traceparent; None if invalid."""
    found = _TRACEPARENT.fullmatch(text.strip())
    if found is None:
        return None
    version, trace_id, parent, flags, more = found.groups()
    # W3C Trace Context: ff is invalid, and version 00 has no further fields.
    if version == "ff" or (version == "00" and more):
        return None
    if not int(trace_id, 16) or not int(parent, 16):
        return None
    return bytes.fromhex(trace_id), bytes.fromhex(parent), bool(int(flags, 16) & _SAMPLED)


def format_traceparent(context: TraceContext) -> str:
    """The traceparent header for work done for this span."""
    flags = _SAMPLED if context.keep else 0
    return f"00-{context.trace_id.hex()}-{context.span_id.hex()}-{flags:02x}"
