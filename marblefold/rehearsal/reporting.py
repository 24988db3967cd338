"""Formats a forecast as text or as a JSON object."""

from collections.abc import Iterator

from marblefold.rehearsal.forecast_model import Forecast, RouteForecast

__all__ = ["to_json_object", "to_text"]

_MIN_SHOWN_RATE = 0.05


def to_json_object(forecast: Forecast) -> dict:
    """Returns the forecast as a JSON object."""
    return {
        "lost": list(forecast.lost),
        "harmless": forecast.is_harmless,
        "settles-after-s": round(forecast.settled_after_seconds, 2),
        "services": [_to_json_fields(route._asdict()) for route in forecast.routes],
        "capacity": [_to_json_fields(row._asdict()) for row in forecast.capacity],
        "control": _to_json_fields(forecast.control._asdict()),
        "gaps": list(forecast.gaps),
    }


def to_text(forecast: Forecast) -> str:
    """Returns the forecast as lines of text."""
    return "\n".join(_lines(forecast)) + "\n"


def _lines(forecast: Forecast) -> Iterator[str]:
    yield (
        f"losing {', '.join(forecast.lost)}; "
        f"all nodes know after {forecast.settled_after_seconds:.1f} s"
    )
    upstream = None
    for route in sorted(forecast.routes, key=lambda route: (route.upstream, route.route)):
        if route.upstream != upstream:
            upstream = route.upstream
            yield f"service {upstream}"
        yield from _route_lines(route)
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


def _route_lines(forecast: RouteForecast) -> Iterator[str]:
    yield f"  {forecast.route} ({forecast.kind}): {forecast.before:.1f}/s before"
    if forecast.gone_with_clients >= _MIN_SHOWN_RATE:
        yield (
            f"    {forecast.gone_with_clients:.1f}/s no longer come: "
            f"their clients' machines are lost"
        )
    yield f"    carried elsewhere: {forecast.carried_elsewhere:.1f}/s; answered in " + (
        ", ".join(
            f"{zone} {forecast.zones_before.get(zone, 0.0):.1f}"
            f" -> {forecast.zones_after.get(zone, 0.0):.1f}/s"
            for zone in sorted(forecast.zones_before.keys() | forecast.zones_after.keys())
        )
        or "no zone"
    )
    yield (
        f"    stalls: {forecast.stalls_before:.1f}/s before, {forecast.stalls_unsettled:.1f}/s "
        f"until all know, {forecast.stalls_after:.1f}/s after"
    )
    for reason, count in sorted(forecast.reasons.items()):
        yield f"      {reason}: {count} in all"
    yield f"    late: {forecast.late_before:.1%} before, {forecast.late_after:.1%} after"
    if forecast.repeated_reads:
        yield f"    repeated: {forecast.repeated_reads} in all"
    if forecast.may_go_twice:
        yield (
            f"    may go through twice: {forecast.may_go_twice} in all (outcome unknown, "
            f"answered 502 or 504 and never sent again by the mesh; the customer may)"
        )


def _to_json_fields(row: dict) -> dict:
    def to_json_value(value):
        if isinstance(value, float):
            return round(value, 3)
        if isinstance(value, dict):
            return {key: to_json_value(item) for key, item in value.items()}
        return list(value) if isinstance(value, tuple) else value

    return {key.replace("_", "-"): to_json_value(value) for key, value in row.items()}
