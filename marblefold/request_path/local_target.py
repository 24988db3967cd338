"""The state of the target beside this proxy, from its heartbeats and answers."""

import enum
import time
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from marblefold.logs import log

__all__ = ["Beat", "LocalTarget", "TargetState"]

_REMEMBERED_LIVES = 32


class TargetState(enum.Enum):
    """The states of a target instance; draining and gone are never reverted."""

    UNKNOWN = "unknown"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Beat(NamedTuple):
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
        self.cold_until = 0.0
        self.drain_since = 0.0
        self._beat_number = -1
        self._past_lives: list[str] = []
        self._on_change = on_change

    def take_beat(self, beat: Beat) -> None:
        """Applies a heartbeat; a late one or one of an earlier instance is ignored."""
        if beat.instance in self._past_lives:
            return
        if beat.instance != self.instance:
            self._begin_life(beat.instance)
        elif beat.number <= self._beat_number:
            return
        self._beat_number = beat.number
        now = time.monotonic()
        is_changed = (self.upstream, self.zone, self.slots) != (
            beat.upstream,
            beat.zone,
            beat.slots,
        )
        self.upstream, self.zone, self.slots = beat.upstream, beat.zone, max(1, beat.slots)
        is_changed |= self.note_cold(beat.cold, now)
        state = TargetState.DRAINING if beat.is_draining else TargetState.READY
        if self._change_state(state) or is_changed:
            self._on_change()

    def take_health(
        self,
        instance: str,
        upstream: str,
        zone: str,
        slots: int,
        cold: timedelta,
    ) -> None:
        """Applies a healthy answer to our probe, in place of a missing heartbeat."""
        if instance in self._past_lives:
            return
        if instance != self.instance:
            self._begin_life(instance)
            self.upstream, self.zone, self.slots = upstream, zone, max(1, slots)
        self.note_cold(cold, time.monotonic())
        if self.state is TargetState.UNKNOWN:
            self._change_state(TargetState.READY)
        self._on_change()

    def leave(self, instance: str) -> None:
        """The target has announced its end."""
        if instance == self.instance and self._change_state(TargetState.GONE):
            self._on_change()
        elif instance != self.instance and instance not in self._past_lives:
            self._remember(instance)

    def note_cold(self, cold: timedelta, now: float) -> bool:
        """Sets how much longer the target is cold; returns whether it became cold or warm.

        `now` is in monotonic seconds.
        """
        was_cold = self.cold_until > now
        self.cold_until = now + cold.total_seconds()
        return was_cold != (self.cold_until > now)

    def _begin_life(self, instance: str) -> None:
        if self.instance:
            self._remember(self.instance)
        self.instance = instance
        self._beat_number = -1
        self.state = TargetState.UNKNOWN

    def _remember(self, instance: str) -> None:
        self._past_lives.append(instance)
        del self._past_lives[:-_REMEMBERED_LIVES]

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
