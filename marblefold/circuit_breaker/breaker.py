"""The circuit breaker of one upstream.

It derives a latency threshold from successful calls and compares the calls in
flight with it: the circuit is open while their average age, leaving out the
oldest call, exceeds the threshold.
"""

import enum
from typing import NamedTuple, Protocol

from marblefold.circuit_breaker.in_flight_tracker import InFlightTracker, Permit
from marblefold.circuit_breaker.latency_statistics import LatencyStatistics

__all__ = ["Breaker", "BreakerConfig", "BreakerState", "AdmissionControl", "Admission"]


class BreakerConfig(NamedTuple):
    """Settings of a breaker; times in seconds. Operators cannot configure them."""

    # The threshold is the mean plus this many standard deviations.
    deviations: float = 5.0
    min_successes: int = 100
    min_in_flight: int = 5
    window: int = 1000
    # While the circuit is open, one call in this many is admitted as a probe.
    calls_per_probe: int = 5
    # Calls are not tracked for longer than this: their deadline is long past.
    max_in_flight_seconds: float = 60.0


class BreakerState(enum.Enum):
    """A closed circuit admits all calls, an open one only probes."""

    CLOSED = "closed"
    OPEN = "open"


class Admission(NamedTuple):
    """Whether a call is admitted; if not, `retry_after` is the delay before a retry, in seconds."""

    allowed: bool
    retry_after: float


class AdmissionControl(Protocol):
    """The operations of a breaker that the request path uses; times are in seconds."""

    def admit(self, now: float) -> Admission: ...

    def begin(self, now: float, latency_target: float, label: str) -> Permit: ...

    def end(self, permit: Permit, now: float, success: bool) -> None: ...


class Breaker:
    """Monitors the calls from this node to one upstream."""

    def __init__(self, config: BreakerConfig = BreakerConfig()) -> None:
        self.state = BreakerState.CLOSED
        self._config = config
        self._tracker = InFlightTracker()
        self._statistics = LatencyStatistics(config.window)
        self._refused_since_probe = 0

    @property
    def in_flight(self) -> int:
        """The number of calls in flight."""
        return len(self._tracker)

    @property
    def threshold(self) -> float | None:
        """A multiple of the latency target; None until enough successes were recorded."""
        if len(self._statistics) < self._config.min_successes:
            return None
        return self._statistics.mean + self._config.deviations * self._statistics.deviation

    def begin(self, now: float, latency_target: float, label: str) -> Permit:
        """Starts to track a call sent at `now`; `latency_target` scales its times, in seconds."""
        return self._tracker.acquire(now, latency_target, label)

    def end(self, permit: Permit, now: float, success: bool) -> None:
        """Records the end of a call; only successes enter the statistics."""
        if self._tracker.release(permit) and success:
            self._statistics.record((now - permit.started) / permit.latency_target)

    def admit(self, now: float) -> Admission:
        """Decides whether a new call may be sent at `now`, in seconds."""
        self._tracker.expire(now, self._config.max_in_flight_seconds)
        self._change_state(self._judge(now))
        if self.state is BreakerState.CLOSED:
            return Admission(True, 0.0)
        # Without probes nothing would show that the upstream has recovered.
        if self._refused_since_probe >= self._config.calls_per_probe - 1:
            self._refused_since_probe = 0
            return Admission(True, 0.0)
        self._refused_since_probe += 1
        return Admission(False, self._retry_after(now))

    def overdue(self, now: float, max_seconds: float) -> list[Permit]:
        """Returns the calls in flight for longer than `max_seconds`, oldest first."""
        found = []
        for permit in self._tracker.oldest_first():
            if now - permit.started <= max_seconds:
                break
            found.append(permit)
        return found

    def _judge(self, now: float) -> BreakerState:
        threshold = self.threshold
        in_flight = len(self._tracker)
        # Too few successes or calls in flight to judge by; deadlines bound these calls.
        if threshold is None or in_flight < self._config.min_in_flight:
            return BreakerState.CLOSED
        total = 0.0
        oldest = True
        for permit in self._tracker.oldest_first():
            # The oldest call may be a single stuck or legitimately long one.
            if oldest:
                oldest = False
                continue
            total += (now - permit.started) / permit.latency_target
        average = total / (in_flight - 1)
        return BreakerState.OPEN if average > threshold else BreakerState.CLOSED

    def _change_state(self, state: BreakerState) -> None:
        """Sets the state; no other code does."""
        if state is self.state:
            return
        self.state = state
        self._refused_since_probe = 0

    def _retry_after(self, now: float) -> float:
        # The age of the oldest call in flight, clamped.
        for permit in self._tracker.oldest_first():
            return max(0.1, min(5.0, now - permit.started))
        return 0.1
