"""Prints a plan as text or JSON."""

import json
from collections.abc import Iterator
from datetime import timedelta

from marblefold.planner.comparing import Moved

__all__ = ["to_json", "to_text"]

_LEAST_SHOWN = 0.0005


def to_json(moved: Moved) -> str:
    """The plan as one JSON object."""
    return json.dumps(
        {
            "harmful": bool(moved.faults),
            "routes": {
                "added": moved.added,
                "removed": moved.removed,
                "changed": [
                    {
                        "route": change.route,
                        "field": change.field.replace("_", "-"),
                        "before": _plain(change.before),
                        "after": _plain(change.after),
                    }
                    for change in moved.changed
                ],
            },
            "upstreams": [share._asdict() for share in moved.upstreams],
            "zones": [share._asdict() for share in moved.zones],
            "capacity": [row._asdict() for row in moved.capacity],
            "faults": moved.faults,
        },
        indent=2,
    )


def to_text(moved: Moved) -> str:
    """The plan as lines of text."""
    return "\n".join(_lines(moved)) + "\n"


def _lines(moved: Moved) -> Iterator[str]:
    for name in moved.added:
        yield f"route {name}: added"
    for name in moved.removed:
        yield f"route {name}: removed"
    for change in moved.changed:
        field = change.field.replace("_", "-")
        yield f"route {change.route}: {field} {_plain(change.before)} -> {_plain(change.after)}"
    for title, shares in (("upstream", moved.upstreams), ("zone", moved.zones)):
        for share in shares:
            mark = "" if abs(share.before - share.after) < _LEAST_SHOWN else "  *"
            yield f"{title} {share.name}: {share.before:.1%} -> {share.after:.1%} of traffic{mark}"
    for row in moved.capacity:
        floor = f", floor {row.floor}" if row.floor else ""
        yield f"capacity {row.upstream}: {row.before} -> {row.after} slots{floor}"
    for fault in moved.faults:
        yield f"HARMFUL {fault}"
    if not moved.faults:
        yield "nothing harmful"


def _plain(value: object) -> object:
    if isinstance(value, timedelta):
        return f"{value / timedelta(milliseconds=1):g} ms"
    return list(value) if isinstance(value, tuple) else value
