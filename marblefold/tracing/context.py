"""What of a trace travels with a request, and how dear a trace is.

The decision to keep a trace is made once, where the request begins, and
travels with every hop: no node decides by itself.
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
    """Ordered: under load the lower goes first."""

    # In the ring of every node it touches, until that turns.
    NOT = 0
    SAMPLE = 1
    UPLOAD = 2
    ORDER = 3
    # Something went wrong with it: these go last.
    MARKED = 4


class TraceContext(NamedTuple):
    """The trace and the span that work is done for."""

    trace_id: bytes
    span_id: bytes
    keep: Keep


def new_span_id() -> bytes:
    """A span id that nobody else has; all zeros is none."""
    return os.urandom(8).replace(b"\0", b"\1")


def start_trace() -> bytes:
    """A trace id that nobody else has."""
    return os.urandom(16).replace(b"\0", b"\1")


def keep_of(trace_id: bytes, keep: Keep, sample_rate: float) -> Keep:
    """What is kept of a lookup: a share of them, told by the trace id alone."""
    if keep is not Keep.SAMPLE:
        return keep
    is_in = int.from_bytes(trace_id[:4], "big") < sample_rate * _HASH_SPAN
    return Keep.SAMPLE if is_in else Keep.NOT


def shed_order(keep: int, trace_id: bytes) -> tuple[int, bytes]:
    """Of two traces the lower goes first; every node finds the same order."""
    return keep, trace_id[8:]


def parse_traceparent(text: str) -> tuple[bytes, bytes, bool] | None:
    """Trace id, parent and whether it is sampled; None for what is not valid."""
    found = _TRACEPARENT.fullmatch(text.strip())
    if found is None:
        return None
    version, trace_id, parent, flags, more = found.groups()
    # As the W3C says: ff is no version, and only later ones may say more.
    if version == "ff" or (version == "00" and more):
        return None
    if not int(trace_id, 16) or not int(parent, 16):
        return None
    return bytes.fromhex(trace_id), bytes.fromhex(parent), bool(int(flags, 16) & _SAMPLED)


def format_traceparent(context: TraceContext) -> str:
    """The header for whoever works for this span."""
    flags = _SAMPLED if context.keep else 0
    return f"00-{context.trace_id.hex()}-{context.span_id.hex()}-{flags:02x}"
