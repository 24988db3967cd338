"""What one process has learned about one target from its own traffic.

The results of traffic outrank the health check: a share of failures lowers the
preference for the target but never removes it, and decays with time, so that the
target is tried again gradually.
"""

import math

from marblefold.request_path.outcome import TargetLoad

__all__ = ["TargetRecord"]

_LEARN_LATENCY = 0.15
_LEARN_FAILURE = 0.2
# Without traffic a failure, and a latency unlike the usual, is forgotten.
_FADE_FAILURE_SECONDS = 4.0
_FADE_LATENCY_SECONDS = 10.0
# A target that fails is avoided, for longer each time.
_FIRST_WAIT = 1.0
_LONGEST_WAIT = 8.0
_FLAP_SECONDS = 10.0
# Reported load is used for so many seconds; then only our own calls count.
_REPORT_SECONDS = 1.0


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
        "_failing",
        "_failing_at",
        "_wait",
        "_broken_at",
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
        self._failing = 0.0
        self._failing_at = 0.0
        self._wait = _FIRST_WAIT
        self._broken_at = -1e9

    def note_load(self, load: TargetLoad, now: float) -> None:
        """Records the load that the target reported."""
        self._reported = load
        self._reported_at = now

    def note_success(self, relative_latency: float, now: float) -> None:
        """Records an answer; `relative_latency` is its time divided by the latency aim."""
        known = self.relative_latency(relative_latency, now) if self._latency else relative_latency
        self._latency = known + _LEARN_LATENCY * (relative_latency - known)
        self._latency_at = now
        self._failing = self.failure_share(now) * (1.0 - _LEARN_FAILURE)
        self._failing_at = now

    def note_failure(self, now: float) -> None:
        """Records a request that failed or was refused."""
        known = self.failure_share(now)
        self._failing = known + _LEARN_FAILURE * (1.0 - known)
        self._failing_at = now

    def note_error(self, now: float) -> None:
        """Records that the target could not be reached."""
        is_still_known = now < self.unreachable_until
        # A flapping target is avoided for longer each time.
        if not is_still_known:
            flaps = now - self._broken_at < _FLAP_SECONDS
            self._wait = min(_LONGEST_WAIT, self._wait * 2) if flaps else _FIRST_WAIT
        self._broken_at = now
        self.unreachable_until = now + self._wait
        self.note_failure(now)

    def failure_share(self, now: float) -> float:
        """The decayed share of requests that fail there, from 0 to 1."""
        if not self._failing:
            return 0.0
        return self._failing * math.exp((self._failing_at - now) / _FADE_FAILURE_SECONDS)

    def relative_latency(self, usual: float, now: float) -> float:
        """Its time divided by the aim, decaying to `usual` without new answers."""
        if not self._latency:
            return usual
        fade = math.exp((self._latency_at - now) / _FADE_LATENCY_SECONDS)
        return usual + (self._latency - usual) * fade

    def slot_utilization(self, slots: int, now: float) -> float:
        """The share of its slots in use after one more request."""
        load = float(self.in_flight)
        if self._reported is not None:
            # The reported load decays: without new reports the target is assumed to empty.
            age = now - self._reported_at
            if age < _REPORT_SECONDS:
                reported = self._reported.running + self._reported.waiting
                load = max(load, reported * (1.0 - age / _REPORT_SECONDS))
            slots = self._reported.slots or slots
        return (load + 1.0) / max(1, slots)
