"""The operator's configuration as immutable data classes."""

from datetime import timedelta

import attrs

__all__ = ["Limits", "Route", "Configuration", "Split", "Upstream"]


@attrs.frozen(slots=True)
class Split:
    """One weighted upstream of a route."""

    upstream: str
    weight: float


@attrs.frozen(slots=True)
class Route:
    """Where and how requests for one host and path prefix are forwarded."""

    name: str
    host_name: str
    path_prefix: str
    route_type: str
    timeout_ms: timedelta
    target_latency_ms: timedelta
    max_attempts: int
    priority: int = 0
    upstream: str | None = None
    weighted_targets: tuple[Split, ...] | None = None
    allowed_regions: tuple[str, ...] | None = None

    @property
    def splits(self) -> tuple[Split, ...]:
        """The upstreams of this route and their weights."""
        if self.weighted_targets:
            return self.weighted_targets
        return (Split(self.upstream or "", 1.0),)


@attrs.frozen(slots=True)
class Upstream:
    """A service that requests can be forwarded to."""

    name: str
    health_check_path: str = "/health"
    max_connections: int = 100
    cold_start_s: timedelta = timedelta(0)
    coldstart_per_s: float = 0.0


@attrs.frozen(slots=True)
class Limits:
    """Limits on the size of client requests and on the time that clients take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_ms: timedelta = timedelta(seconds=3)
    idle_timeout_ms: timedelta = timedelta(seconds=15)


@attrs.frozen(slots=True)
class Configuration:
    """A complete configuration with its version number."""

    config_version: int
    route_list: tuple[Route, ...]
    service_list: tuple[Upstream, ...]
    limits: Limits
