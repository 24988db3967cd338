"""Formats a plan as text or JSON."""

import json
from collections.abc import Iterator
from datetime import timedelta

from marblefold.planner.comparison import Differences

__all__ = ["to_json", "to_text"]

_MIN_MARKED_DIFFERENCE = 0.0005


def to_json(differences: Differences) -> str:
    """Returns the plan as a JSON object."""
    return json.dumps(
        {
            "harmful": bool(differences.faults),
            "routes": {
                "added": differences.added,
                "removed": differences.removed,
                "changed": [
                    {
                        "route": change.route,
                        "field": change.field.replace("_", "-"),
                        "before": _format_value(change.before),
                        "after": _format_value(change.after),
                    }
                    for change in differences.changed
                ],
            },
            "upstreams": [share._asdict() for share in differences.upstreams],
            "zones": [share._asdict() for share in differences.zones],
            "capacity": [row._asdict() for row in differences.capacity],
            "faults": differences.faults,
        },
        indent=2,
    )


def to_text(differences: Differences) -> str:
    """Returns the plan as lines of text."""
    return "\n".join(_lines(differences)) + "\n"


def _lines(differences: Differences) -> Iterator[str]:
    for name in differences.added:
        yield f"route {name}: added"
    for name in differences.removed:
        yield f"route {name}: removed"
    for change in differences.changed:
        field = change.field.replace("_", "-")
        yield (
            f"route {change.route}: {field} "
            f"{_format_value(change.before)} -> {_format_value(change.after)}"
        )
    for title, shares in (("upstream", differences.upstreams), ("zone", differences.zones)):
        for share in shares:
            mark = "" if abs(share.before - share.after) < _MIN_MARKED_DIFFERENCE else "  *"
            yield f"{title} {share.name}: {share.before:.1%} -> {share.after:.1%} of traffic{mark}"
    for row in differences.capacity:
        floor = f", floor {row.floor}" if row.floor else ""
        yield f"capacity {row.upstream}: {row.before} -> {row.after} slots{floor}"
    for fault in differences.faults:
        yield f"HARMFUL {fault}"
    if not differences.faults:
        yield "nothing harmful"


def _format_value(value: object) -> object:
    if isinstance(value, timedelta):
        return f"{value / timedelta(milliseconds=1):g} ms"
    return list(value) if isinstance(value, tuple) else value
