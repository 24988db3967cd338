"""The state of the target beside this proxy, from its heartbeats and answers."""

import enum
import time
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from marblefold.logs import log
from marblefold.request_path.cold_state import ColdReport, ColdState, ReportSource

__all__ = ["Heartbeat", "LocalTarget", "TargetState"]

_MAX_PAST_INSTANCES = 32
# A report that differs from the one before by more than this is logged.
_REPORTED_DRIFT_SECONDS = 0.2


class TargetState(enum.Enum):
    """The states of a target instance; draining and gone are never reverted."""

    UNKNOWN = "unknown"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Heartbeat(NamedTuple):
    """A heartbeat of a target; `cold` is how much longer it is cold."""

    instance: str
    upstream: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    cold: timedelta
    number: int


class LocalTarget:
    """The state of the one target that only this proxy reaches."""

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
        self._on_change = on_change
        # Called with the target's own word on how long it is cold, and when another
        # instance takes its place.
        self.on_cold_report: Callable[[ColdReport], None] = lambda _report: None
        self.on_new_instance: Callable[[], None] = lambda: None

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Applies a heartbeat; a late one or one of an earlier instance is ignored."""
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
        asked_at: float,
    ) -> None:
        """Applies a healthy answer to the probe of `asked_at` (monotonic seconds)."""
        if instance in self._past_instances:
            return
        is_changed = instance != self.instance
        if is_changed:
            self._begin_instance(instance)
            self.upstream, self.zone, self.slots = upstream, zone, max(1, slots)
        report = ColdReport(ReportSource.HEALTH, cold, time.monotonic(), asked_at)
        is_changed |= self._apply_report(report)
        if self.state is TargetState.UNKNOWN:
            is_changed |= self._change_state(TargetState.READY)
        if is_changed:
            self._on_change()

    def deregister(self, instance: str) -> None:
        """The target has announced its end."""
        if instance == self.instance and self._change_state(TargetState.GONE):
            self._on_change()
        elif instance != self.instance and instance not in self._past_instances:
            self._remember(instance)

    @property
    def cold_until(self) -> float:
        """Until when the target is cold by its own word, in monotonic seconds."""
        return self.cold.cold_until

    def _apply_report(self, report: ColdReport) -> bool:
        """Applies the target's own word; returns whether it became cold or warm."""
        was_cold = self.cold_until > report.at
        expected = max(0.0, self.cold_until - report.at)
        left = report.remaining.total_seconds()
        if (left > 0) != was_cold or abs(left - expected) > _REPORTED_DRIFT_SECONDS:
            log.info(
                "target cold" if left > 0 else "target warm",
                instance=self.instance,
                source=report.source.value,
                left=round(left, 3),
                expected=round(expected, 3),
            )
        self.cold.apply(report)
        self.on_cold_report(report)
        return was_cold != (self.cold_until > report.at)

    def _begin_instance(self, instance: str) -> None:
        if self.instance:
            self._remember(self.instance)
            self.cold = ColdState()
        self.instance = instance
        self._heartbeat_number = -1
        self.state = TargetState.UNKNOWN
        self.on_new_instance()

    def _remember(self, instance: str) -> None:
        self._past_instances.append(instance)
        del self._past_instances[:-_MAX_PAST_INSTANCES]

    def _change_state(self, state: TargetState) -> bool:
        """The only place where the state changes; returns whether it did."""
        order = list(TargetState)
        # Within one instance the state only moves forward.
        if order.index(state) <= order.index(self.state):
            return False
        self.state = state
        if state is TargetState.DRAINING:
            self.drain_since = time.monotonic()
        log.info("target", instance=self.instance, state=state.value, upstream=self.upstream)
        return True
