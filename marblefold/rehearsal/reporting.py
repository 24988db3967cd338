"""Prints a forecast as text, or turns it into plain objects for JSON."""

from collections.abc import Iterator

from marblefold.rehearsal.forecast_model import Forecast, RouteForecast

__all__ = ["to_json_object", "to_text"]

_LEAST_RATE = 0.05


def to_json_object(forecast: Forecast) -> dict:
    """The forecast as one JSON object."""
    return {
        "lost": list(forecast.lost),
        "harmless": forecast.is_harmless,
        "settles-after-s": round(forecast.settled_after_seconds, 2),
        "services": [_plain(kind._asdict()) for kind in forecast.kinds],
        "capacity": [_plain(row._asdict()) for row in forecast.capacity],
        "control": _plain(forecast.control._asdict()),
        "gaps": list(forecast.gaps),
    }


def to_text(forecast: Forecast) -> str:
    """The forecast as lines."""
    return "\n".join(_lines(forecast)) + "\n"


def _lines(forecast: Forecast) -> Iterator[str]:
    yield f"losing {', '.join(forecast.lost)}; all nodes know after {forecast.settled_after_seconds:.1f} s"
    upstream = None
    for kind in sorted(forecast.kinds, key=lambda kind: (kind.upstream, kind.route)):
        if kind.upstream != upstream:
            upstream = kind.upstream
            yield f"service {upstream}"
        yield from _kind_lines(kind)
    for row in forecast.capacity:
        yield (
            f"capacity {row.upstream}: {row.slots_before} -> {row.slots_after} slots, in use "
            f"{row.used_before:.0f} -> {row.used_after:.0f}"
        )
    control = forecast.control
    if control.stores:
        majority = "a majority" if control.has_majority else "NO MAJORITY"
        yield f"control: {control.stores_left} of {control.stores} stores left, {majority}"
    for note in control.notes:
        yield f"control: {note}"
    for gap in forecast.gaps:
        yield f"gap: {gap}"
    yield "all carried" if forecast.is_harmless else "NOT all carried"


def _kind_lines(kind: RouteForecast) -> Iterator[str]:
    yield f"  {kind.route} ({kind.kind}): {kind.before:.1f}/s before"
    if kind.gone_with_clients >= _LEAST_RATE:
        yield f"    {kind.gone_with_clients:.1f}/s no longer come: their clients' machines are lost"
    yield f"    carried elsewhere: {kind.carried_elsewhere:.1f}/s; answered in " + (
        ", ".join(
            f"{zone} {kind.zones_before.get(zone, 0.0):.1f}"
            f" -> {kind.zones_after.get(zone, 0.0):.1f}/s"
            for zone in sorted(kind.zones_before.keys() | kind.zones_after.keys())
        )
        or "no zone"
    )
    yield (
        f"    stalls: {kind.stalls_before:.1f}/s before, {kind.stalls_unsettled:.1f}/s until all "
        f"know, {kind.stalls_after:.1f}/s after"
    )
    for reason, count in sorted(kind.reasons.items()):
        yield f"      {reason}: {count} in all"
    yield f"    late: {kind.late_before:.1%} before, {kind.late_after:.1%} after"
    if kind.repeated_reads:
        yield f"    repeated: {kind.repeated_reads} in all"
    if kind.may_go_twice:
        yield (
            f"    may go through twice: {kind.may_go_twice} in all (outcome unknown, answered 502 "
            f"or 504 and never sent again by the mesh; the customer may)"
        )


def _plain(row: dict) -> dict:
    def tidy(value):
        if isinstance(value, float):
            return round(value, 3)
        if isinstance(value, dict):
            return {key: tidy(item) for key, item in value.items()}
        return list(value) if isinstance(value, tuple) else value

    return {key.replace("_", "-"): tidy(value) for key, value in row.items()}
