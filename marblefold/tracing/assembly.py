"""Assembles a trace from the spans that several registries hold.  Pure.

Clocks of machines differ, so order comes from parent spans; the skew is shown.
A span that another one refers to and that is absent makes the trace
incomplete, and its node is named.
"""

from collections.abc import Iterable
from typing import NamedTuple

from marblefold.request_path.outcome import HopOutcome
from marblefold.tracing.span import SpanKind

__all__ = ["Step", "Trace", "assemble"]

_NO_SPAN = "0" * 16
# Hops that ended at these steps never reached a guard.
_UNSENT_STEPS = ("connect", "no descriptor", "not allowed any more")


class Step(NamedTuple):
    """A span with its child spans."""

    row: dict
    children: tuple["Step", ...]
    # Least microseconds by which this node's clock is ahead of its parent's.
    skew_us: int


class Trace(NamedTuple):
    """A trace as a tree, and the parts known to be missing."""

    trace_id: str
    roots: tuple[Step, ...]
    missing: tuple[str, ...]
    is_shed: bool

    @property
    def is_whole(self) -> bool:
        """Whether every span that is referred to is present."""
        return bool(self.roots) and not self.missing and not self.is_shed


def assemble(trace_id: str, rows: Iterable[dict], is_shed: bool = False) -> Trace:
    """The trace in the rows (spans as JSON objects); copies of one span count once."""
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
        elif parent != _NO_SPAN and row["inferred"]:
            missing.append(f"the run at {row['node']} that made a call")
    for row in spans.values():
        if row["kind"] == SpanKind.HOP and _came_to_a_guard(row):
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
        tuple(_make_step(row, children, None) for row in roots),
        tuple(sorted(missing)),
        is_shed,
    )


def _came_to_a_guard(row: dict) -> bool:
    if not row["peer"]:
        return False
    is_unsent = row["outcome"] == HopOutcome.NEVER_OFFERED and row["step"] in _UNSENT_STEPS
    return not is_unsent


def _make_step(row: dict, children: dict[str, list[dict]], parent: dict | None) -> Step:
    skew = 0
    if parent is not None:
        early = parent["start_us"] - row["start_us"]
        late = (row["start_us"] + row["duration_us"]) - (parent["start_us"] + parent["duration_us"])
        # A span lies within its parent's time: what exceeds it is clock skew.
        if early > 0 or (late > 0 and parent["duration_us"] >= row["duration_us"]):
            skew = -early if early > 0 else late
    return Step(
        row,
        tuple(_make_step(child, children, row) for child in children.get(row["span_id"], ())),
        skew,
    )
