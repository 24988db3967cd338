"""Nominates the target that the next hop goes to."""

import random
from typing import Collection, NamedTuple

from marblefold.request_path.eligibility import is_eligible, is_last_resort
from marblefold.request_path.mesh_view import KnownTarget, MeshView
from marblefold.request_path.outcome import Pressure

__all__ = ["Nominee", "Nominator"]

# Told pressure is news for so long; then our own calls are all we know.
_TOLD_SECONDS = 1.0
# A mate that broke down is passed over for so long where others can serve.
_SHUN_SECONDS = 1.0
# Bytes between zones have a price: what a kilobyte of a hop adds, in aims,
# to the latency that is compared, and the most that it may add.
_ZONE_SURCHARGE_PER_KILOBYTE = 0.06
_MOST_ZONE_SURCHARGE = 1.0
_LEARN = 0.15
_NEAR_CANDIDATES = 4
_FAR_CANDIDATES = 2


class Nominee(NamedTuple):
    """The nominated target; the last resort if nothing better is known."""

    target: KnownTarget
    is_last_resort: bool


class _Record:
    """What was learned of one target."""

    __slots__ = ("in_flight", "told", "told_at", "latency", "broken_at", "refused_until")

    def __init__(self) -> None:
        self.in_flight = 0
        self.told: Pressure | None = None
        self.told_at = 0.0
        self.latency = 0.0
        self.broken_at = -1e9
        self.refused_until = 0.0


class Nominator:
    """Learns how targets fare and picks the one likely to answer first."""

    def __init__(self, view: MeshView, zone: str, seed: int | None = None) -> None:
        self._view = view
        self._zone = zone
        self._records: dict[str, _Record] = {}
        self._silent_until: dict[str, float] = {}
        self._random = random.Random(seed)

    def nominate(
        self, upstream: str, tried: Collection[str], homes: Collection[str] | None,
        kilobytes: float, now: float,
    ) -> Nominee | None:
        """The target for the next hop, or None if there is none to be had."""
        preferred: list[KnownTarget] = []
        resort: list[KnownTarget] = []
        for target in self._view.targets(upstream):
            if target.instance in tried:
                continue
            if not is_eligible(target, self._view.evacuated, homes):
                continue
            record = self._record(target.node)
            is_doubtful = (
                is_last_resort(target)
                or target.node in self._view.suspects
                or now - record.broken_at < _SHUN_SECONDS
                or now < self._silent_until.get(target.mate, 0.0)
                or now < record.refused_until
            )
            (resort if is_doubtful else preferred).append(target)
        # One that is busy is still better than one about to end.
        staying = [target for target in resort if not is_last_resort(target)]
        candidates = preferred or staying or resort
        if not candidates:
            return None
        surcharge = min(_MOST_ZONE_SURCHARGE, kilobytes * _ZONE_SURCHARGE_PER_KILOBYTE)
        best = min(
            self._draw(candidates),
            key=lambda target: self._expected(target, now)
            + (surcharge if target.zone != self._zone else 0.0))
        return Nominee(best, not preferred)

    def begin(self, target: KnownTarget) -> None:
        """A hop leaves for the target."""
        self._record(target.node).in_flight += 1

    def end(self, target: KnownTarget) -> None:
        """A hop to the target is over."""
        self._record(target.node).in_flight -= 1

    def note_pressure(self, target: KnownTarget, pressure: Pressure, now: float) -> None:
        """The proxy beside the target told its pressure."""
        record = self._record(target.node)
        record.told = pressure
        record.told_at = now

    def note_latency(self, target: KnownTarget, weighted: float) -> None:
        """The target answered; how long it took over the aim."""
        record = self._record(target.node)
        if record.latency == 0.0:
            record.latency = weighted
        record.latency += _LEARN * (weighted - record.latency)

    def note_breakdown(self, target: KnownTarget, now: float) -> None:
        """The mate or its target could not be talked to."""
        self._record(target.node).broken_at = now

    def note_silent(self, mate: str, now: float) -> None:
        """The mate gives no sign of life just now."""
        self._silent_until[mate] = now + _SHUN_SECONDS

    def note_refusal(self, target: KnownTarget, until: float) -> None:
        """The guard does not want more before that time."""
        self._record(target.node).refused_until = until

    def _draw(self, candidates: list[KnownTarget]) -> list[KnownTarget]:
        """A few of many, so that proxies with the same news do not all agree."""
        if len(candidates) <= _NEAR_CANDIDATES + _FAR_CANDIDATES:
            return candidates
        near = [target for target in candidates if target.zone == self._zone]
        far = [target for target in candidates if target.zone != self._zone]
        return (
            self._random.sample(near, min(len(near), _NEAR_CANDIDATES))
            + self._random.sample(far, min(len(far), _FAR_CANDIDATES)))

    def _record(self, node: str) -> _Record:
        record = self._records.get(node)
        if record is None:
            record = self._records[node] = _Record()
        return record

    def _expected(self, target: KnownTarget, now: float) -> float:
        record = self._record(target.node)
        pressure = float(record.in_flight)
        slots = target.slots
        if record.told is not None:
            # The told pressure fades: without news the target drains.
            age = now - record.told_at
            if age < _TOLD_SECONDS:
                told = record.told.running + record.told.waiting
                pressure = max(pressure, told * (1.0 - age / _TOLD_SECONDS))
            slots = record.told.slots or slots
        use = (pressure + 1.0) / max(1, slots)
        # While slots are free more work hardly slows; beyond them it queues.
        factor = 1.0 + 0.3 * use + 4.0 * max(0.0, use - 0.8)
        latency = record.latency or 0.3
        if target.cold_until > now:
            factor *= 3.0
        return latency * factor * (1.0 + 0.1 * self._random.random())
