"""The operator's spec as plain values."""

from datetime import timedelta

import attrs

__all__ = ["Limits", "Mapping", "Spec", "Split", "Upstream"]


@attrs.frozen(slots=True)
class Split:
    """One part of a mapping that is split over upstreams."""

    upstream: str
    weight: float


@attrs.frozen(slots=True)
class Mapping:
    """Where requests of one host below one prefix go, and how."""

    name: str
    host_name: str
    path_prefix: str
    mapping_kind: str
    time_limit_ms: timedelta
    target_latency_ms: timedelta
    attempt_limit: int
    priority: int = 0
    upstream: str | None = None
    upstream_split: tuple[Split, ...] | None = None
    home_regions: tuple[str, ...] | None = None

    @property
    def splits(self) -> tuple[Split, ...]:
        """The upstreams of this mapping with their weights."""
        if self.upstream_split:
            return self.upstream_split
        return (Split(self.upstream or "", 1.0),)


@attrs.frozen(slots=True)
class Upstream:
    """A service that requests may be sent to."""

    name: str
    health_check_path: str = "/health"
    stream_limit: int = 100
    cold_start_s: timedelta = timedelta(0)
    coldstart_per_s: float = 0.0


@attrs.frozen(slots=True)
class Limits:
    """What a downstream may send and how long it may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_ms: timedelta = timedelta(seconds=3)
    idle_timeout_ms: timedelta = timedelta(seconds=15)


@attrs.frozen(slots=True)
class Spec:
    """A whole spec under its number."""

    spec_number: int
    mapping_list: tuple[Mapping, ...]
    upstream_list: tuple[Upstream, ...]
    limits: Limits
