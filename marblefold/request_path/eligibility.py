"""Which targets may be selected at all; shared by proxies and the planner."""

from collections.abc import Collection

from marblefold.request_path.mesh_view import KnownOwner, KnownTarget

__all__ = ["is_eligible", "is_last_resort"]


def is_eligible(
    target: KnownTarget,
    evacuated: Collection[str],
    allowed_regions: Collection[str] | None,
    owner: KnownOwner | None = None,
) -> bool:
    """Whether a hop may go to the target."""
    if target.zone in evacuated:
        return False
    # A service that a site owns is served nowhere else.
    if owner is not None and (target.site, target.site_agent) != (owner.site, owner.agent):
        return False
    # Outside the allowed regions of its route a request must not run.
    return not allowed_regions or target.region in allowed_regions


def is_last_resort(target: KnownTarget) -> bool:
    """Whether the target or its proxy is shutting down and should be avoided."""
    return target.is_draining or target.is_leaving
