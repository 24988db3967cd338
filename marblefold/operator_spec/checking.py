"""What makes a readable spec invalid."""

from datetime import timedelta
from typing import Iterator

from marblefold import wire_names
from marblefold.operator_spec.model import Mapping, Spec

__all__ = ["find_faults"]

_KINDS = (wire_names.READ_ONLY, wire_names.MUTATING, wire_names.UPLOAD)
_LONGEST_TIME_LIMIT = timedelta(minutes=10)


def find_faults(spec: Spec) -> Iterator[str]:
    """Every fault of the spec, each with its place."""
    if spec.spec_number < 0:
        yield "spec-number: below zero"
    upstreams = set()
    for upstream in spec.upstream_list:
        if not upstream.name:
            yield "upstream-list: an upstream without a name"
        if upstream.name in upstreams:
            yield f"upstream-list: {upstream.name} stands twice"
        upstreams.add(upstream.name)
    places: dict[tuple[str, str], str] = {}
    for index, mapping in enumerate(spec.mapping_list):
        place = f"mapping-list[{index}] {mapping.name}"
        for fault in _find_mapping_faults(mapping, upstreams):
            yield f"{place}: {fault}"
        key = (mapping.host_name.lower(), mapping.path_prefix)
        if key in places:
            yield f"{place}: same host and prefix as {places[key]}"
        places[key] = mapping.name


def _find_mapping_faults(mapping: Mapping, upstreams: set[str]) -> Iterator[str]:
    if not mapping.host_name:
        yield "host-name: empty"
    if not mapping.path_prefix.startswith("/"):
        yield "path-prefix: does not begin with a slash"
    if mapping.mapping_kind not in _KINDS:
        yield f"mapping-kind: {mapping.mapping_kind!r} is none of {', '.join(_KINDS)}"
    if not timedelta(0) < mapping.time_limit_ms <= _LONGEST_TIME_LIMIT:
        yield "time-limit-ms: not within ten minutes"
    if mapping.target_latency_ms < timedelta(0):
        yield "target-latency-ms: below zero"
    if mapping.attempt_limit < 1:
        yield "attempt-limit: below one"
    if mapping.upstream is None and not mapping.upstream_split:
        yield "upstream: neither an upstream nor a split"
    for split in mapping.splits:
        if split.upstream not in upstreams:
            yield f"upstream: {split.upstream!r} is not in upstream-list"
        if split.weight < 0:
            yield "upstream-split: a weight below zero"
    if sum(split.weight for split in mapping.splits) <= 0:
        yield "upstream-split: no weight above zero"
