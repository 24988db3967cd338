"""Lays out a checked spec in rows for the proxies."""

import zlib
from datetime import timedelta

from marblefold.inner_protocol.messages import kinds
from marblefold.operator_spec.model import Spec

__all__ = ["lay_out"]

_MILLISECOND = timedelta(milliseconds=1)


def lay_out(spec: Spec) -> bytes:
    """The rows of the spec as bytes."""
    limits = spec.limits
    # Hundreds of mappings are much alike, and links may be narrow.
    return zlib.compress(kinds.SpecRows(
        number=spec.spec_number,
        mappings=[
            kinds.MappingRow(
                name=mapping.name,
                host=mapping.host_name.lower(),
                prefix=mapping.path_prefix,
                kind=mapping.mapping_kind,
                time_limit_ms=mapping.time_limit_ms / _MILLISECOND,
                target_latency_ms=mapping.target_latency_ms / _MILLISECOND,
                attempt_limit=mapping.attempt_limit,
                priority=mapping.priority,
                split_upstreams=[split.upstream for split in mapping.splits],
                split_weights=[split.weight for split in mapping.splits],
                home_regions=mapping.home_regions or (),
            )
            for mapping in spec.mapping_list
        ],
        upstreams=[
            kinds.UpstreamRow(
                name=upstream.name,
                health_check_path=upstream.health_check_path,
                stream_limit=upstream.stream_limit,
                coldstart_per_s=upstream.coldstart_per_s,
            )
            for upstream in spec.upstream_list
        ],
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_time_ms=int(limits.header_timeout_ms / _MILLISECOND),
        idle_time_ms=int(limits.idle_timeout_ms / _MILLISECOND),
    ).SerializeToString(), 1)
