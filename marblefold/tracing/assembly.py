"""Assembles a trace from the spans that several registries hold, without I/O.

Machine clocks differ, so the order comes from parent spans, and the clock skew
is reported.  If a span that another one refers to is absent, the trace is
incomplete and the node of the absent span is listed.
"""

from collections.abc import Iterable
from typing import NamedTuple

from marblefold.request_path.outcome import HopOutcome
from marblefold.tracing.span import SpanKind

__all__ = ["SpanNode", "Trace", "assemble"]

_NO_PARENT = "0" * 16
# A hop that ended at one of these steps never reached a guard.
_UNSENT_STEPS = ("connect", "no descriptor", "not allowed any more")


class SpanNode(NamedTuple):
    """A span and its child spans."""

    row: dict
    children: tuple["SpanNode", ...]
    # Minimum number of microseconds by which this node's clock is ahead of its parent's.
    skew_us: int


class Trace(NamedTuple):
    """A trace as a tree, with descriptions of the spans known to be missing."""

    trace_id: str
    roots: tuple[SpanNode, ...]
    missing: tuple[str, ...]
    is_shed: bool

    @property
    def is_complete(self) -> bool:
        """Whether every span that another one refers to is present."""
        return bool(self.roots) and not self.missing and not self.is_shed


def assemble(trace_id: str, rows: Iterable[dict], is_shed: bool = False) -> Trace:
    """Builds the trace from rows (spans as JSON objects); ignores duplicate spans."""
    spans = {row["span_id"]: row for row in rows}
    children: dict[str, list[dict]] = {}
    roots, missing = [], []
    for row in sorted(spans.values(), key=lambda row: (row["start_us"], row["span_id"])):
        parent = row["parent"]
        if parent in spans:
            children.setdefault(parent, []).append(row)
            continue
        roots.append(row)
        if row["kind"] == SpanKind.SERVE:
            missing.append(f"the sender of a hop, {row['peer']}")
        elif row["kind"] == SpanKind.HOP:
            missing.append(f"the request of a hop at {row['node']}")
        elif parent != _NO_PARENT and row["inferred"]:
            missing.append(f"the run at {row['node']} that made a call")
    for row in spans.values():
        if row["kind"] == SpanKind.HOP and _reached_guard(row):
            if not any(
                child["kind"] == SpanKind.SERVE for child in children.get(row["span_id"], ())
            ):
                missing.append(f"the guard at {row['peer']}, instance {row['target']}")
        if (
            row["kind"] == SpanKind.REQUEST
            and row["status"]
            and row["outcome"] in (HopOutcome.ANSWERED, HopOutcome.UNKNOWN)
        ):
            if row["span_id"] not in children:
                missing.append(f"the hops of a request at {row['node']}")
    return Trace(
        trace_id,
        tuple(_build_node(row, children, None) for row in roots),
        tuple(sorted(missing)),
        is_shed,
    )


def _reached_guard(row: dict) -> bool:
    if not row["peer"]:
        return False
    is_unsent = row["outcome"] == HopOutcome.NEVER_OFFERED and row["step"] in _UNSENT_STEPS
    return not is_unsent


def _build_node(row: dict, children: dict[str, list[dict]], parent: dict | None) -> SpanNode:
    skew = 0
    if parent is not None:
        early = parent["start_us"] - row["start_us"]
        late = (row["start_us"] + row["duration_us"]) - (parent["start_us"] + parent["duration_us"])
        # A span lies within its parent's interval, so any excess is clock skew.
        if early > 0 or (late > 0 and parent["duration_us"] >= row["duration_us"]):
            skew = -early if early > 0 else late
    return SpanNode(
        row,
        tuple(_build_node(child, children, row) for child in children.get(row["span_id"], ())),
        skew,
    )
