"""Encodes a validated configuration as rows for the proxies."""

import zlib
from datetime import timedelta

from marblefold.configuration.model import Configuration
from marblefold.inner_protocol.messages import messages_pb2

__all__ = ["encode_rows"]

_MILLISECOND = timedelta(milliseconds=1)


def encode_rows(configuration: Configuration) -> bytes:
    """Returns the configuration as a zlib-compressed ConfigurationRows message."""
    limits = configuration.limits
    # Hundreds of routes are similar and compress well, and links may have little bandwidth.
    return zlib.compress(
        messages_pb2.ConfigurationRows(
            number=configuration.config_version,
            routes=[
                messages_pb2.RouteRow(
                    name=route.name,
                    host=route.host_name.lower(),
                    prefix=route.path_prefix,
                    kind=route.route_type,
                    timeout_ms=route.timeout_ms / _MILLISECOND,
                    target_latency_ms=route.target_latency_ms / _MILLISECOND,
                    max_attempts=route.max_attempts,
                    priority=route.priority,
                    split_upstreams=[split.upstream for split in route.splits],
                    split_weights=[split.weight for split in route.splits],
                    allowed_regions=route.allowed_regions or (),
                )
                for route in configuration.route_list
            ],
            upstreams=[
                messages_pb2.UpstreamRow(
                    name=upstream.name,
                    health_check_path=upstream.health_check_path,
                    max_connections=upstream.max_connections,
                    coldstart_per_s=upstream.coldstart_per_s,
                    cold_start_s=upstream.cold_start_s.total_seconds(),
                )
                for upstream in configuration.service_list
            ],
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_time_ms=int(limits.header_timeout_ms / _MILLISECOND),
            idle_time_ms=int(limits.idle_timeout_ms / _MILLISECOND),
        ).SerializeToString(),
        1,
    )
