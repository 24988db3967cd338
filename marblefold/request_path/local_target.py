"""The state of the local target, from its heartbeats and health answers."""

import enum
import math
import time
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from marblefold.logs import log
from marblefold.request_path.cold_state import ColdReport, ColdState, ReportSource

__all__ = ["Heartbeat", "LocalTarget", "TargetState"]

_MAX_PAST_INSTANCES = 32
# A reported cold time that differs from the expected one by more than this is logged.
_LOGGED_DRIFT_SECONDS = 0.2


class TargetState(enum.Enum):
    """The states of a target instance, which only change in the order given here."""

    UNKNOWN = "unknown"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Heartbeat(NamedTuple):
    """A heartbeat of a target; `cold` is the remaining cold time."""

    instance: str
    upstream: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    cold: timedelta
    number: int


class LocalTarget:
    """The state of the one target behind this proxy."""

    def __init__(self, on_change: Callable[[], None]) -> None:
        self.state = TargetState.UNKNOWN
        self.instance = ""
        self.upstream = ""
        self.zone = ""
        self.slots = 1
        self.cold = ColdState()
        self.drain_since = 0.0
        self._heartbeat_number = -1
        self._past_instances: list[str] = []
        self._recalled_draining = ""
        self._on_change = on_change
        # Called with each report of how long the target is cold, and when a new instance
        # replaces the current one.
        self.on_cold_report: Callable[[ColdReport], None] = lambda _report: None
        self.on_new_instance: Callable[[], None] = lambda: None

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Applies a heartbeat; ignores an outdated one or one of an earlier instance."""
        if heartbeat.instance in self._past_instances:
            return
        if heartbeat.instance != self.instance:
            self._begin_instance(heartbeat.instance)
        elif heartbeat.number <= self._heartbeat_number:
            return
        self._heartbeat_number = heartbeat.number
        now = time.monotonic()
        is_changed = (self.upstream, self.zone, self.slots) != (
            heartbeat.upstream,
            heartbeat.zone,
            heartbeat.slots,
        )
        self.upstream, self.zone, self.slots = (
            heartbeat.upstream,
            heartbeat.zone,
            max(1, heartbeat.slots),
        )
        is_changed |= self._apply_report(ColdReport(ReportSource.HEARTBEAT, heartbeat.cold, now))
        state = TargetState.DRAINING if heartbeat.is_draining else TargetState.READY
        if self._change_state(state) or is_changed:
            self._on_change()

    def apply_health(
        self,
        instance: str,
        upstream: str,
        zone: str,
        slots: int,
        cold: timedelta,
        requested_at: float,
    ) -> None:
        """Applies a healthy answer to the probe sent at `requested_at` (monotonic seconds)."""
        if instance in self._past_instances:
            return
        is_changed = instance != self.instance
        if is_changed:
            self._begin_instance(instance)
            self.upstream, self.zone, self.slots = upstream, zone, max(1, slots)
        report = ColdReport(ReportSource.HEALTH, cold, time.monotonic(), requested_at)
        is_changed |= self._apply_report(report)
        if self.state is TargetState.UNKNOWN:
            is_changed |= self._change_state(TargetState.READY)
        if is_changed:
            self._on_change()

    def deregister(self, instance: str) -> None:
        """Applies the announcement of an instance that it shuts down."""
        if instance == self.instance and self._change_state(TargetState.GONE):
            self._on_change()
        elif instance != self.instance and instance not in self._past_instances:
            self._add_past_instance(instance)

    def recall(self, instance: str, state: str) -> None:
        """Applies what an earlier process of this node last reported of an instance.

        A delayed heartbeat could otherwise take the instance back to an earlier state.
        """
        if state == TargetState.GONE.value:
            self.deregister(instance)
        elif state == TargetState.DRAINING.value:
            self._recalled_draining = instance
            if instance == self.instance:
                self._recall_draining()
                self._on_change()

    @property
    def cold_until(self) -> float:
        """Until when the target is cold according to its own reports, in monotonic seconds."""
        return self.cold.cold_until

    def _apply_report(self, report: ColdReport) -> bool:
        """Applies a report of the target; returns whether it became cold or warm."""
        was_cold = self.cold_until > report.at
        expected = max(0.0, self.cold_until - report.at)
        remaining = report.remaining.total_seconds()
        if (remaining > 0) != was_cold or abs(remaining - expected) > _LOGGED_DRIFT_SECONDS:
            log.info(
                "target cold" if remaining > 0 else "target warm",
                instance=self.instance,
                source=report.source.value,
                left=round(remaining, 3),
                expected=round(expected, 3),
            )
        self.cold.apply(report)
        self.on_cold_report(report)
        return was_cold != (self.cold_until > report.at)

    def _begin_instance(self, instance: str) -> None:
        if self.instance:
            self._add_past_instance(self.instance)
            self.cold = ColdState()
        self.instance = instance
        self._heartbeat_number = -1
        self.state = TargetState.UNKNOWN
        self.on_new_instance()
        if instance == self._recalled_draining:
            self._recall_draining()

    def _recall_draining(self) -> None:
        self._change_state(TargetState.DRAINING)
        # How long it has been draining is not known here.
        self.drain_since = -math.inf

    def _add_past_instance(self, instance: str) -> None:
        self._past_instances.append(instance)
        del self._past_instances[:-_MAX_PAST_INSTANCES]

    def _change_state(self, state: TargetState) -> bool:
        """Changes the state; returns whether it did.  No other method advances the state."""
        order = list(TargetState)
        # The state of one instance never goes back to an earlier one.
        if order.index(state) <= order.index(self.state):
            return False
        self.state = state
        if state is TargetState.DRAINING:
            self.drain_since = time.monotonic()
        log.info(
            "target state changed",
            instance=self.instance,
            state=state.value,
            upstream=self.upstream,
        )
        return True
