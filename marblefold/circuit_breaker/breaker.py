"""The circuit breaker of one upstream.

It learns what is normal from successful calls and looks at the calls in
flight: when these, without the oldest, are on average older than the
threshold, the circuit opens until that is no longer so.
"""

import enum
from typing import NamedTuple, Protocol

from marblefold.circuit_breaker.in_flight_tracker import InFlightTracker, Permit
from marblefold.circuit_breaker.latency_statistics import LatencyStatistics

__all__ = ["Breaker", "BreakerConfig", "BreakerState", "AdmissionControl", "Admission"]


class BreakerConfig(NamedTuple):
    """Settings; times in seconds. The operator's configuration holds none of them."""

    deviations: float = 5.0
    min_successes: int = 100
    min_in_flight: int = 5
    window: int = 1000
    # One call in this many passes while the circuit is open.
    calls_per_probe: int = 5
    # No call is tracked for longer: its deadline is long past.
    max_in_flight_seconds: float = 60.0


class BreakerState(enum.Enum):
    """Closed lets all calls pass, open lets a few."""

    CLOSED = "closed"
    OPEN = "open"


class Admission(NamedTuple):
    """Whether a call is admitted, and if not, after how many seconds to try again."""

    allowed: bool
    retry_after: float


class AdmissionControl(Protocol):
    """What the request path needs of a breaker; times are in seconds."""

    def admit(self, now: float) -> Admission: ...

    def begin(self, now: float, latency_target: float, label: str) -> Permit: ...

    def end(self, permit: Permit, now: float, success: bool) -> None: ...


class Breaker:
    """Watches the calls of this node toward one upstream."""

    def __init__(self, config: BreakerConfig = BreakerConfig()) -> None:
        self.state = BreakerState.CLOSED
        self._config = config
        self._tracker = InFlightTracker()
        self._statistics = LatencyStatistics(config.window)
        self._refused_since_probe = 0

    @property
    def in_flight(self) -> int:
        """How many calls are in flight."""
        return len(self._tracker)

    @property
    def threshold(self) -> float | None:
        """Seconds per unit of latency_target; None until enough successes were recorded."""
        if len(self._statistics) < self._config.min_successes:
            return None
        return self._statistics.mean + self._config.deviations * self._statistics.deviation

    def begin(self, now: float, latency_target: float, label: str) -> Permit:
        """A call leaves at `now`, in seconds; its times are divided by `latency_target`."""
        return self._tracker.acquire(now, latency_target, label)

    def end(self, permit: Permit, now: float, success: bool) -> None:
        """A call ended; only successes enter the statistics."""
        if self._tracker.release(permit) and success:
            self._statistics.record((now - permit.started) / permit.latency_target)

    def admit(self, now: float) -> Admission:
        """Whether a new call may leave at `now`, in seconds."""
        self._tracker.expire(now, self._config.max_in_flight_seconds)
        self._change_state(self._judge(now))
        if self.state is BreakerState.CLOSED:
            return Admission(True, 0.0)
        # Some calls must pass, else nothing would show that it is over.
        if self._refused_since_probe >= self._config.calls_per_probe - 1:
            self._refused_since_probe = 0
            return Admission(True, 0.0)
        self._refused_since_probe += 1
        return Admission(False, self._retry_after(now))

    def overdue(self, now: float, max_seconds: float) -> list[Permit]:
        """The calls in flight for longer than `max_seconds` seconds, for the log."""
        found = []
        for permit in self._tracker.oldest_first():
            if now - permit.started <= max_seconds:
                break
            found.append(permit)
        return found

    def _judge(self, now: float) -> BreakerState:
        threshold = self.threshold
        in_flight = len(self._tracker)
        # Too few successes or calls in flight to judge by: deadlines bound them.
        if threshold is None or in_flight < self._config.min_in_flight:
            return BreakerState.CLOSED
        total = 0.0
        oldest = True
        for permit in self._tracker.oldest_first():
            # The oldest may be a single stuck or legitimately long call.
            if oldest:
                oldest = False
                continue
            total += (now - permit.started) / permit.latency_target
        average = total / (in_flight - 1)
        return BreakerState.OPEN if average > threshold else BreakerState.CLOSED

    def _change_state(self, state: BreakerState) -> None:
        """The only place where the state changes."""
        if state is self.state:
            return
        self.state = state
        self._refused_since_probe = 0

    def _retry_after(self, now: float) -> float:
        # The age of the oldest call in flight, within bounds.
        for permit in self._tracker.oldest_first():
            return max(0.1, min(5.0, now - permit.started))
        return 0.1
