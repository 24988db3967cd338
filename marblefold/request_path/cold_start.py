"""Limits the request rate of the local target whenever it may be cold."""

import math
import time
from collections.abc import Callable
from datetime import timedelta

from marblefold.logs import log
from marblefold.node_config.model import Bounds
from marblefold.request_path.cold_limit import ColdLimit
from marblefold.request_path.cold_monitor import ColdMonitor
from marblefold.request_path.cold_state import ColdReport
from marblefold.request_path.local_target import LocalTarget
from marblefold.request_path.mesh_view import MeshView
from marblefold.request_path.upstream_limits import (
    ColdLimits,
    cold_rate_bound,
    cold_rate_limit,
    find_cold_limits,
)

__all__ = ["COLD_STEP", "ColdStartLimiter"]

# The step of a hop that is refused because its target may be cold.
COLD_STEP = "cold"
# After a longer time without a write, the target may have gone cold unnoticed: this proxy
# may have been partitioned or suspended.
_IDLE_SECONDS = 1.1
# A target in an uncertain state is probed once this share of its limit is used up; below
# that, the limit delays no request.
_PROBE_SHARE = 0.25
_PROBE_INTERVAL_SECONDS = 0.25
# The number of probes allowed in addition to a limit that is used up.
_PROBE_RESERVE = 1
_UNCERTAIN_RETRY_SECONDS = 0.1


class ColdStartLimiter:
    """Decides whether a request may be written to the target now.

    All times are monotonic seconds.
    """

    def __init__(self, target: LocalTarget, view: MeshView, bounds: Bounds) -> None:
        self.monitor = ColdMonitor()
        # Called when only a probe can tell whether the target is cold.
        self.on_probe_needed: Callable[[], None] = lambda: None
        self._target = target
        self._view = view
        self._bounds = bounds
        self._limit = ColdLimit()
        # The limits of a cold target as known at the last hop.
        self._limits: ColdLimits | None = None
        self._written_at = -math.inf
        self._probed_at = -math.inf
        target.on_cold_report = self._note_report
        target.on_new_instance = self.monitor.begin_instance

    def begin(self, now: float) -> None:
        """Starts with a full window, since earlier requests to the target are unknown.

        The first heartbeat may have been sent before this process started.
        """
        self._limit.assume_window_full(now)
        self._written_at = now
        self.mark_uncertain(now, "start")

    def mark_uncertain(self, now: float, why: str) -> None:
        """Records that the target may have gone cold without a report to this proxy."""
        log.info("target may be cold", instance=self._target.instance, why=why)
        self._target.cold.mark_uncertain(now)

    @property
    def is_uncertain(self) -> bool:
        """Whether the target may be cold without having reported it."""
        return self._target.cold.is_uncertain(time.monotonic(), self._cold_seconds)

    def has_room(self, head, now: float) -> bool:
        """Whether the hop may be offered as far as is known now; it is not counted yet."""
        self._limits = find_cold_limits(self._view, head.upstream, head)
        if now - self._written_at > _IDLE_SECONDS:
            self._target.cold.mark_uncertain(now)
        self._update_limit(now)
        has_room = self._limit.has_room(now, cold_rate_limit(self._limits, self._bounds))
        if not has_room and self._target.cold.is_uncertain(now, self._cold_seconds):
            self._request_probe(now)
        return has_room

    def may_write(self, now: float) -> bool:
        """Whether the hop may be written at this moment; if so, it is counted.

        The caller must not await anything between this call and the write.
        """
        self._update_limit(now)
        if not self._limit.may_offer(now, cold_rate_limit(self._limits, self._bounds)):
            return False
        self._written_at = now
        return True

    def may_probe(self, now: float) -> bool:
        """Whether the target may be probed now; if so, the probe is counted as a request."""
        max_per_second = cold_rate_limit(self._limits, self._bounds)
        is_limited = now < self._limit.cold_until
        if (
            is_limited
            and self._limit.used(now, max_per_second) + 1 > max_per_second + _PROBE_RESERVE
        ):
            return False
        self._probed_at = now
        self._limit.note_offer(now)
        return True

    def note_written(self) -> None:
        """Reports a request written to the target to the monitor."""
        self.monitor.note_written(time.monotonic(), cold_rate_bound(self._limits, self._bounds))

    def retry_after(self, now: float) -> float:
        """The seconds until the window has room again, or may have."""
        if now < self._target.cold_until:
            return self._limit.retry_after(now)
        # A probe may end the uncertainty at any moment.
        return min(_UNCERTAIN_RETRY_SECONDS, self._limit.retry_after(now))

    @property
    def _cold_seconds(self) -> float:
        return self._limits.seconds if self._limits is not None else 0.0

    def _update_limit(self, now: float) -> None:
        """Enforces or lifts the limit; requests a probe if the uncertainty may delay requests."""
        state = self._target.cold
        seconds = self._cold_seconds
        self._limit.cold_until = math.inf if state.may_be_cold(now, seconds) else -math.inf
        if not state.is_uncertain(now, seconds):
            return
        max_per_second = cold_rate_limit(self._limits, self._bounds)
        if self._limit.count(now) >= _PROBE_SHARE * max_per_second:
            self._request_probe(now)

    def _request_probe(self, now: float) -> None:
        if now - self._probed_at >= _PROBE_INTERVAL_SECONDS:
            self.on_probe_needed()

    def _note_report(self, report: ColdReport) -> None:
        limits = find_cold_limits(self._view, self._target.upstream) or self._limits
        seconds = limits.seconds if limits is not None else 0.0
        bound = cold_rate_bound(limits, self._bounds)
        self.monitor.note_report(report, timedelta(seconds=seconds), bound)
