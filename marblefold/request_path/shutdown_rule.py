"""Decides which hops a proxy that is shutting down still accepts for its target."""

from marblefold.node_config.model import Bounds

__all__ = ["ShutdownRule"]

# Hops without an alternative target are accepted for this share of the grace period.
_LAST_RESORT_SHARE = 0.3
# Until peers can know of the shutdown, the proxy accepts every hop: its target still
# works, and refused hops would become additional load for other targets.
_UNANNOUNCED_SHARE = 0.16


class ShutdownRule:
    """The shutdown rule of a guard."""

    def __init__(self, bounds: Bounds) -> None:
        # When SIGTERM was received, in monotonic seconds.
        self.started_at: float | None = None
        self._bounds = bounds

    def is_refused(self, now: float, is_last_resort: bool) -> bool:
        """Whether a hop that arrives now (monotonic seconds) is refused."""
        if self.started_at is None:
            return False
        # Peers without an alternative are served a little longer; the rest of the grace
        # period is left for finishing the requests in progress.
        grace_seconds = self._bounds.grace_period.total_seconds()
        elapsed_seconds = now - self.started_at
        if elapsed_seconds < grace_seconds * _UNANNOUNCED_SHARE:
            return False
        return not is_last_resort or elapsed_seconds > grace_seconds * _LAST_RESORT_SHARE
