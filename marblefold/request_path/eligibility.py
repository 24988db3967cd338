"""Rules for which targets may be selected; shared by proxies and the planner."""

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
    # A service owned by one site is served only by that site and its current agent.
    if owner is not None and (target.site, target.site_agent) != (owner.site, owner.agent):
        return False
    # A request must not run outside the allowed regions of its route.
    return not allowed_regions or target.region in allowed_regions


def is_last_resort(target: KnownTarget) -> bool:
    """Whether the target or its proxy is shutting down and should be avoided."""
    return target.is_draining or target.is_leaving
