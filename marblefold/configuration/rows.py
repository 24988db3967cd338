"""A validated configuration in the form that registries distribute and proxies use.

Registries parse and validate the operator's bytes once, so proxies need neither the
parser nor its libraries.
"""

import zlib
from datetime import timedelta
from typing import NamedTuple

from marblefold.inner_protocol.messages import messages_pb2

__all__ = ["Limits", "Route", "ConfigurationRows", "Upstream", "decode_rows"]


class Route(NamedTuple):
    """Where and how requests for one host and path prefix are forwarded."""

    name: str
    host: str
    prefix: str
    kind: str
    time_limit: timedelta
    target_latency: timedelta
    max_attempts: int
    priority: int
    upstreams: tuple[str, ...]
    weights: tuple[float, ...]
    allowed_regions: tuple[str, ...]


class Upstream(NamedTuple):
    """A service that requests can be forwarded to."""

    name: str
    health_check_path: str
    max_connections: int
    coldstart_per_s: float
    cold_start: timedelta = timedelta(0)


class Limits(NamedTuple):
    """Limits on the size of client requests and on the time that clients take."""

    header_bytes: int
    body_bytes: int
    header_time: timedelta
    idle_time: timedelta


class ConfigurationRows(NamedTuple):
    """A complete configuration with its version number."""

    number: int
    routes: tuple[Route, ...]
    upstreams: tuple[Upstream, ...]
    limits: Limits


def decode_rows(data: bytes) -> ConfigurationRows:
    """Decodes the bytes that `row_encoding.encode_rows` returns."""
    message = messages_pb2.ConfigurationRows.FromString(zlib.decompress(data))
    return ConfigurationRows(
        message.number,
        tuple(_read_route(row) for row in message.routes),
        tuple(_read_upstream(row) for row in message.upstreams),
        Limits(
            message.header_bytes,
            message.body_bytes,
            timedelta(milliseconds=message.header_time_ms),
            timedelta(milliseconds=message.idle_time_ms),
        ),
    )


def _read_route(row) -> Route:
    return Route(
        row.name,
        row.host,
        row.prefix,
        row.kind,
        timedelta(milliseconds=row.timeout_ms),
        timedelta(milliseconds=row.target_latency_ms),
        row.max_attempts,
        row.priority,
        tuple(row.split_upstreams),
        tuple(row.split_weights),
        tuple(row.allowed_regions),
    )


def _read_upstream(row) -> Upstream:
    return Upstream(
        row.name,
        row.health_check_path,
        row.max_connections,
        row.coldstart_per_s,
        timedelta(seconds=row.cold_start_s),
    )
