"""What one process learned of one target from its own traffic.

Traffic's results outrank whatever the target says of its health: a share of
failures makes it less wanted, never forgotten, and fades with time, so that
it is tried again by small steps.
"""

import math

from marblefold.request_path.outcome import TargetLoad

__all__ = ["TargetRecord"]

_LEARN_LATENCY = 0.15
_LEARN_FAILURE = 0.2
# Without traffic a failure, and a latency unlike the usual, is forgotten.
_FADE_FAILURE_SECONDS = 4.0
_FADE_LATENCY_SECONDS = 10.0
# A target that breaks down is passed over; each time again for longer.
_FIRST_WAIT = 1.0
_LONGEST_WAIT = 8.0
_FLAP_SECONDS = 10.0
# Told load is news for so long; then our own calls are all we know.
_TOLD_SECONDS = 1.0


class TargetRecord:
    """The figures of one target."""

    __slots__ = (
        "in_flight",
        "rank",
        "refused_until",
        "broken_until",
        "_told",
        "_told_at",
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
        self.refused_until = 0.0
        self.broken_until = 0.0
        self._told: TargetLoad | None = None
        self._told_at = 0.0
        self._latency = 0.0
        self._latency_at = 0.0
        self._failing = 0.0
        self._failing_at = 0.0
        self._wait = _FIRST_WAIT
        self._broken_at = -1e9

    def note_load(self, load: TargetLoad, now: float) -> None:
        """It was told how much the target has on its hands."""
        self._told = load
        self._told_at = now

    def note_success(self, weighted: float, now: float) -> None:
        """It answered; how long that took over the aim."""
        known = self.latency(weighted, now) if self._latency else weighted
        self._latency = known + _LEARN_LATENCY * (weighted - known)
        self._latency_at = now
        self._failing = self.failing(now) * (1.0 - _LEARN_FAILURE)
        self._failing_at = now

    def note_failure(self, now: float) -> None:
        """It failed a request, or turned it away."""
        known = self.failing(now)
        self._failing = known + _LEARN_FAILURE * (1.0 - known)
        self._failing_at = now

    def note_error(self, now: float) -> None:
        """It could not be talked to."""
        is_still_known = now < self.broken_until
        # One that goes up and down comes back later each time.
        if not is_still_known:
            flaps = now - self._broken_at < _FLAP_SECONDS
            self._wait = min(_LONGEST_WAIT, self._wait * 2) if flaps else _FIRST_WAIT
        self._broken_at = now
        self.broken_until = now + self._wait
        self.note_failure(now)

    def failing(self, now: float) -> float:
        """The share of requests that fail there, as far as is remembered."""
        if not self._failing:
            return 0.0
        return self._failing * math.exp((self._failing_at - now) / _FADE_FAILURE_SECONDS)

    def latency(self, usual: float, now: float) -> float:
        """How long it takes over the aim, drifting to the usual without news."""
        if not self._latency:
            return usual
        fade = math.exp((self._latency_at - now) / _FADE_LATENCY_SECONDS)
        return usual + (self._latency - usual) * fade

    def use(self, slots: int, now: float) -> float:
        """The part of its slots that one more request would leave in use."""
        load = float(self.in_flight)
        if self._told is not None:
            # The told load fades: without news the target drains.
            age = now - self._told_at
            if age < _TOLD_SECONDS:
                told = self._told.running + self._told.waiting
                load = max(load, told * (1.0 - age / _TOLD_SECONDS))
            slots = self._told.slots or slots
        return (load + 1.0) / max(1, slots)
