"""Statistics of one target, collected by one process from its own traffic.

The results of traffic take precedence over the health check.  A share of failures
lowers the preference for the target but never excludes it, and decays with time, so
that traffic returns gradually.
"""

import math

from marblefold.request_path.outcome import TargetLoad

__all__ = ["TargetRecord"]

_LATENCY_SMOOTHING = 0.15
_FAILURE_SMOOTHING = 0.2
# Time constants with which failures and unusual latencies decay without traffic.
_FAILURE_DECAY_SECONDS = 4.0
_LATENCY_DECAY_SECONDS = 10.0
# An unreachable target is avoided, with a backoff that doubles if it is flapping: if it
# became unreachable again within _FLAP_SECONDS.
_INITIAL_BACKOFF_SECONDS = 1.0
_MAX_BACKOFF_SECONDS = 8.0
_FLAP_SECONDS = 10.0
# Reported load is used for this long; after that only local calls count.
_REPORTED_LOAD_SECONDS = 1.0


class TargetRecord:
    """The statistics of one target; `now` is in monotonic seconds."""

    __slots__ = (
        "in_flight",
        "rank",
        "refusing_until",
        "unreachable_until",
        "_reported",
        "_reported_at",
        "_latency",
        "_latency_at",
        "_failure_share",
        "_failure_share_at",
        "_backoff_seconds",
        "_unreachable_at",
    )

    def __init__(self, rank: int = 0) -> None:
        self.in_flight = 0
        self.rank = rank
        self.refusing_until = 0.0
        self.unreachable_until = 0.0
        self._reported: TargetLoad | None = None
        self._reported_at = 0.0
        self._latency = 0.0
        self._latency_at = 0.0
        self._failure_share = 0.0
        self._failure_share_at = 0.0
        self._backoff_seconds = _INITIAL_BACKOFF_SECONDS
        self._unreachable_at = -1e9

    def note_load(self, load: TargetLoad, now: float) -> None:
        """Records the load that the target reported."""
        self._reported = load
        self._reported_at = now

    def note_success(self, relative_latency: float, now: float) -> None:
        """Records an answer; `relative_latency` is its time divided by the latency target."""
        previous = (
            self.relative_latency(relative_latency, now) if self._latency else relative_latency
        )
        self._latency = previous + _LATENCY_SMOOTHING * (relative_latency - previous)
        self._latency_at = now
        self._failure_share = self.failure_share(now) * (1.0 - _FAILURE_SMOOTHING)
        self._failure_share_at = now

    def note_failure(self, now: float) -> None:
        """Records a request that failed or was refused."""
        previous = self.failure_share(now)
        self._failure_share = previous + _FAILURE_SMOOTHING * (1.0 - previous)
        self._failure_share_at = now

    def note_error(self, now: float) -> None:
        """Records that the target could not be reached."""
        is_already_avoided = now < self.unreachable_until
        # The backoff of a flapping target doubles each time.
        if not is_already_avoided:
            is_flapping = now - self._unreachable_at < _FLAP_SECONDS
            self._backoff_seconds = (
                min(_MAX_BACKOFF_SECONDS, self._backoff_seconds * 2)
                if is_flapping
                else _INITIAL_BACKOFF_SECONDS
            )
        self._unreachable_at = now
        self.unreachable_until = now + self._backoff_seconds
        self.note_failure(now)

    def failure_share(self, now: float) -> float:
        """Returns the decayed share of requests that fail there, from 0 to 1."""
        if not self._failure_share:
            return 0.0
        return self._failure_share * math.exp(
            (self._failure_share_at - now) / _FAILURE_DECAY_SECONDS
        )

    def relative_latency(self, usual: float, now: float) -> float:
        """Returns latency divided by its target, decaying to `usual` without new answers."""
        if not self._latency:
            return usual
        decay = math.exp((self._latency_at - now) / _LATENCY_DECAY_SECONDS)
        return usual + (self._latency - usual) * decay

    def slot_utilization(self, slots: int, now: float) -> float:
        """Returns the share of its slots in use after one more request."""
        load = float(self.in_flight)
        if self._reported is not None:
            # Reported load decays: without new reports the queue is assumed to drain.
            age = now - self._reported_at
            if age < _REPORTED_LOAD_SECONDS:
                reported = self._reported.running + self._reported.waiting
                load = max(load, reported * (1.0 - age / _REPORTED_LOAD_SECONDS))
            slots = self._reported.slots or slots
        return (load + 1.0) / max(1, slots)
