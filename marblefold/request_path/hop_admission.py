"""Decides from local state whether a hop may go to the target beside this proxy."""

import time

from marblefold.node_config.model import Bounds
from marblefold.request_path.cold_start import COLD_STEP, ColdStartLimiter
from marblefold.request_path.local_target import LocalTarget, TargetState
from marblefold.request_path.mesh_view import MeshView
from marblefold.request_path.outcome import make_refusal
from marblefold.request_path.shutdown_rule import ShutdownRule

__all__ = ["REFUSED_RETRY_SECONDS", "UNREACHABLE_RETRY_SECONDS", "HopAdmission"]

# A draining target accepts hops without an alternative for this share of its drain
# time; the remaining time is reserved for the requests in progress by then.
_DRAIN_ACCEPT_SHARE = 0.4
# The shortest time after which a refused hop may be sent to the same target again.
REFUSED_RETRY_SECONDS = 0.1
# How long a target that could not be reached is offered nothing.
UNREACHABLE_RETRY_SECONDS = 0.2


class HopAdmission:
    """The state of the target, the shutdown and the evacuations, as far as they refuse hops."""

    def __init__(
        self, target: LocalTarget, view: MeshView, bounds: Bounds, cold: ColdStartLimiter
    ) -> None:
        self._target = target
        self._view = view
        self._bounds = bounds
        self._cold = cold
        self._shutdown_rule = ShutdownRule(bounds)
        self._unreachable_until = 0.0

    def begin_shutdown(self, now: float) -> None:
        """Refuses hops that could not finish before the proxy exits.

        `now` is in monotonic seconds.
        """
        self._shutdown_rule.started_at = now

    def note_unreachable(self, now: float) -> None:
        """Records that the target could not be reached; `now` is in monotonic seconds."""
        self._unreachable_until = now + UNREACHABLE_RETRY_SECONDS

    def find_refusal(self, head):
        """Returns the refusal of a hop that must not go to the target, or None."""
        target = self._target
        if target.instance != head.expected_instance:
            return make_refusal("another instance", 0.0)
        if time.monotonic() < self._unreachable_until:
            return make_refusal("target out of reach", UNREACHABLE_RETRY_SECONDS)
        if target.upstream != head.upstream:
            return make_refusal("another upstream", 0.0)
        if not self.is_owner(head):
            return make_refusal("another owner", REFUSED_RETRY_SECONDS)
        if target.state is TargetState.DRAINING:
            # Peers may not know of the drain yet; other targets can serve these hops.
            share = self._bounds.drain_time.total_seconds() * _DRAIN_ACCEPT_SHARE
            if not head.last_resort or time.monotonic() - target.drain_since > share:
                return make_refusal("draining", 0.0)
        elif self._shutdown_rule.is_refused(time.monotonic(), head.last_resort):
            return make_refusal("leaving", 0.0)
        elif target.state is not TargetState.READY:
            return make_refusal(target.state.value, 0.0)
        if target.zone in self._view.evacuated:
            return make_refusal("evacuated", 0.0)
        return None

    def find_obstacle(self, head) -> str:
        """Returns the step that forbids writing the hop now.

        Returns "" if it may be written; the hop is then counted as written.
        """
        if head.owner_epoch and not self.is_owner(head):
            return "another owner"
        return "" if self._cold.may_write(time.monotonic()) else COLD_STEP

    def is_owner(self, head) -> bool:
        """Whether this site owns the service now, in the sender's epoch."""
        if not head.owner_epoch and head.upstream not in self._view.owners:
            return True
        epoch = self._view.leases.epoch(head.upstream, time.monotonic())
        return epoch != 0 and epoch == head.owner_epoch
