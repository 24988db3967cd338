"""Validates a parsed configuration."""

from collections.abc import Iterator
from datetime import timedelta

from marblefold import wire_names
from marblefold.configuration.model import Configuration, Limits, Route

__all__ = ["find_problems"]

_ROUTE_TYPES = (wire_names.READ_ONLY, wire_names.MUTATING, wire_names.UPLOAD)
_MAX_ROUTE_TIMEOUT = timedelta(minutes=10)
_MAX_CLIENT_TIMEOUT = timedelta(days=1)
# The largest integer that the rows for proxies can hold (configuration/row_encoding.py).
_MAX_INTEGER = 2**31 - 1


def find_problems(configuration: Configuration) -> Iterator[str]:
    """Yields every problem of the configuration, prefixed with its location."""
    if configuration.config_version < 0:
        yield "config-version: below zero"
    yield from _find_limit_problems(configuration.limits)
    upstreams = set()
    for upstream in configuration.service_list:
        if not upstream.name:
            yield "service-list: an upstream without a name"
        if upstream.name in upstreams:
            yield f"service-list: {upstream.name} stands twice"
        upstreams.add(upstream.name)
        if not 0 <= upstream.max_connections <= _MAX_INTEGER:
            yield f"service-list: {upstream.name}: max-connections: not from 0 to {_MAX_INTEGER}"
    routes_by_location: dict[tuple[str, str], str] = {}
    for index, route in enumerate(configuration.route_list):
        location = f"route-list[{index}] {route.name}"
        for problem in _find_route_problems(route, upstreams):
            yield f"{location}: {problem}"
        key = (route.host_name.lower(), route.path_prefix)
        if key in routes_by_location:
            yield f"{location}: same host and prefix as {routes_by_location[key]}"
        routes_by_location[key] = route.name


def _find_limit_problems(limits: Limits) -> Iterator[str]:
    if not 0 <= limits.max_header_bytes <= _MAX_INTEGER:
        yield f"limits.max-header-bytes: not from 0 to {_MAX_INTEGER}"
    if limits.max_body_bytes < 0:
        yield "limits.max-body-bytes: below zero"
    if not timedelta(0) <= limits.header_timeout_ms <= _MAX_CLIENT_TIMEOUT:
        yield "limits.header-timeout-ms: not within a day"
    if not timedelta(0) <= limits.idle_timeout_ms <= _MAX_CLIENT_TIMEOUT:
        yield "limits.idle-timeout-ms: not within a day"


def _find_route_problems(route: Route, upstreams: set[str]) -> Iterator[str]:
    if not route.host_name:
        yield "host-name: empty"
    if not route.path_prefix.startswith("/"):
        yield "path-prefix: does not begin with a slash"
    if route.route_type not in _ROUTE_TYPES:
        yield f"route-type: {route.route_type!r} is none of {', '.join(_ROUTE_TYPES)}"
    if not timedelta(0) < route.timeout_ms <= _MAX_ROUTE_TIMEOUT:
        yield "timeout-ms: not within ten minutes"
    if route.target_latency_ms < timedelta(0):
        yield "target-latency-ms: below zero"
    if not 1 <= route.max_attempts <= _MAX_INTEGER:
        yield f"max-attempts: below one, or over {_MAX_INTEGER}"
    if not -_MAX_INTEGER <= route.priority <= _MAX_INTEGER:
        yield f"priority: over {_MAX_INTEGER}"
    if route.upstream is None and not route.weighted_targets:
        yield "upstream: neither an upstream nor a split"
    # Also beside weighted targets, which then decide where requests go.
    if route.weighted_targets and route.upstream is not None and route.upstream not in upstreams:
        yield f"upstream: {route.upstream!r} is not in service-list"
    for split in route.splits:
        if split.upstream not in upstreams:
            yield f"upstream: {split.upstream!r} is not in service-list"
        if split.weight < 0:
            yield "weighted-targets: a weight below zero"
    if sum(split.weight for split in route.splits) <= 0:
        yield "weighted-targets: no weight above zero"
