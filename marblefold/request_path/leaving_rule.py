"""What a proxy that is about to end still takes for the target beside it."""

from marblefold.node_config.model import Bounds

__all__ = ["LeavingRule"]

# What has no other place to go is taken for this part of the grace period.
_LEAVING_SHARE = 0.3
# Until peers can have heard of it, a leaving proxy takes all that it is sent:
# its target is as good as ever, and what it refuses others must bear.
_UNTOLD_SHARE = 0.16


class LeavingRule:
    """Kept by the guard."""

    def __init__(self, bounds: Bounds) -> None:
        # Seconds of the steady clock at the SIGTERM, if one has come.
        self.since: float | None = None
        self._bounds = bounds

    def is_too_late(self, now: float, is_last_resort: bool) -> bool:
        """Whether a hop that comes now is refused, its target notwithstanding."""
        if self.since is None:
            return False
        # Peers that know of nothing better are served a little longer; then
        # the rest of the grace period is for what is under way.
        grace = self._bounds.grace_period.total_seconds()
        age = now - self.since
        if age < grace * _UNTOLD_SHARE:
            return False
        return not is_last_resort or age > grace * _LEAVING_SHARE
