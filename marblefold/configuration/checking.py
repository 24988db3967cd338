"""What makes a readable configuration invalid."""

from collections.abc import Iterator
from datetime import timedelta

from marblefold import wire_names
from marblefold.configuration.model import Configuration, Limits, Route

__all__ = ["find_problems"]

_KINDS = (wire_names.READ_ONLY, wire_names.MUTATING, wire_names.UPLOAD)
_LONGEST_TIME_LIMIT = timedelta(minutes=10)
_LONGEST_LIMIT = timedelta(days=1)
# What the rows for proxies can hold of a number (configuration/row_encoding.py).
_MOST = 2**31 - 1


def find_problems(configuration: Configuration) -> Iterator[str]:
    """Every fault of the configuration, each with its place."""
    if configuration.config_version < 0:
        yield "config-version: below zero"
    yield from _find_limit_faults(configuration.limits)
    upstreams = set()
    for upstream in configuration.service_list:
        if not upstream.name:
            yield "service-list: an upstream without a name"
        if upstream.name in upstreams:
            yield f"service-list: {upstream.name} stands twice"
        upstreams.add(upstream.name)
        if not 0 <= upstream.max_connections <= _MOST:
            yield f"service-list: {upstream.name}: max-connections: not from 0 to {_MOST}"
    places: dict[tuple[str, str], str] = {}
    for index, route in enumerate(configuration.route_list):
        place = f"route-list[{index}] {route.name}"
        for fault in _find_route_faults(route, upstreams):
            yield f"{place}: {fault}"
        key = (route.host_name.lower(), route.path_prefix)
        if key in places:
            yield f"{place}: same host and prefix as {places[key]}"
        places[key] = route.name


def _find_limit_faults(limits: Limits) -> Iterator[str]:
    if not 0 <= limits.max_header_bytes <= _MOST:
        yield f"limits.max-header-bytes: not from 0 to {_MOST}"
    if limits.max_body_bytes < 0:
        yield "limits.max-body-bytes: below zero"
    if not timedelta(0) <= limits.header_timeout_ms <= _LONGEST_LIMIT:
        yield "limits.header-timeout-ms: not within a day"
    if not timedelta(0) <= limits.idle_timeout_ms <= _LONGEST_LIMIT:
        yield "limits.idle-timeout-ms: not within a day"


def _find_route_faults(route: Route, upstreams: set[str]) -> Iterator[str]:
    if not route.host_name:
        yield "host-name: empty"
    if not route.path_prefix.startswith("/"):
        yield "path-prefix: does not begin with a slash"
    if route.route_type not in _KINDS:
        yield f"route-type: {route.route_type!r} is none of {', '.join(_KINDS)}"
    if not timedelta(0) < route.timeout_ms <= _LONGEST_TIME_LIMIT:
        yield "timeout-ms: not within ten minutes"
    if route.target_latency_ms < timedelta(0):
        yield "target-latency-ms: below zero"
    if not 1 <= route.max_attempts <= _MOST:
        yield f"max-attempts: below one, or over {_MOST}"
    if not -_MOST <= route.priority <= _MOST:
        yield f"priority: over {_MOST}"
    if route.upstream is None and not route.weighted_targets:
        yield "upstream: neither an upstream nor a split"
    for split in route.splits:
        if split.upstream not in upstreams:
            yield f"upstream: {split.upstream!r} is not in service-list"
        if split.weight < 0:
            yield "weighted-targets: a weight below zero"
    if sum(split.weight for split in route.splits) <= 0:
        yield "weighted-targets: no weight above zero"
