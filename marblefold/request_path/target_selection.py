"""Selects the target that the next hop goes to."""

import random
import zlib
from collections.abc import Collection
from typing import NamedTuple

from marblefold.request_path.eligibility import is_eligible, is_last_resort
from marblefold.request_path.mesh_view import KnownTarget, MeshView
from marblefold.request_path.outcome import TargetLoad
from marblefold.request_path.target_record import TargetRecord

__all__ = ["SelectedTarget", "TargetSelector"]

# An unresponsive peer is avoided for so many seconds if others can serve.
_SHUN_SECONDS = 1.0
# Beyond this share of an upstream no target is avoided any more: not all of them
# can be at fault, and the rest could not take the load.
_MOST_SHUNNED = 0.5
# Traffic between zones has a cost: what a kilobyte of a hop adds to the compared
# latency, in aims, and the most that it may add.
_ZONE_SURCHARGE_PER_KILOBYTE = 0.06
_MOST_ZONE_SURCHARGE = 1.0
# The cost, in aims, of a target that fails every request.
_FAILURE_SURCHARGE = 3.0
_FIRST_LATENCY = 0.3
_LEARN_USUAL = 0.02
_NEAR_CANDIDATES = 4
_FAR_CANDIDATES = 2
# A process uses only so many of the targets in its own zone, so that its
# connections to them stay open.
_SUBSET = 6


class SelectedTarget(NamedTuple):
    """The selected target; the last resort if nothing better is known."""

    target: KnownTarget
    is_last_resort: bool


class TargetSelector:
    """Learns how targets perform and selects the one likely to answer first.

    All times are monotonic seconds.
    """

    def __init__(
        self,
        view: MeshView,
        zone: str,
        seed: int | None = None,
        subset_key: str = "",
        has_guards: bool = True,
    ) -> None:
        self._view = view
        # Beside a guard a draining target is a last resort: the guard knows for
        # how long. Without one it is none.
        self._has_guards = has_guards
        self._zone = zone
        self._records: dict[str, TargetRecord] = {}
        self._usual: dict[str, float] = {}
        self._unresponsive_until: dict[str, float] = {}
        self._random = random.Random(seed)
        self._subset_key = subset_key

    def select(
        self,
        upstream: str,
        tried: Collection[str],
        allowed_regions: Collection[str] | None,
        kilobytes: float,
        now: float,
    ) -> SelectedTarget | None:
        """The target for the next hop, or None if none is eligible."""
        preferred: list[KnownTarget] = []
        busy: list[KnownTarget] = []
        unreachable: list[KnownTarget] = []
        ending: list[KnownTarget] = []
        owner = self._view.owners.get(upstream)
        for target in self._view.targets(upstream):
            if target.instance in tried:
                continue
            if not is_eligible(target, self._view.evacuated, allowed_regions, owner):
                continue
            if is_last_resort(target):
                if self._has_guards:
                    ending.append(target)
            elif self._is_unreachable(target, now):
                unreachable.append(target)
            elif now < self._record(target.node).refusing_until:
                busy.append(target)
            else:
                preferred.append(target)
        # A busy target is better than one that may be unreachable, and that is
        # better than one that is shutting down.
        candidates = preferred or busy or unreachable or ending
        if not candidates:
            return None
        most = _MOST_SHUNNED * (len(preferred) + len(busy) + len(unreachable))
        if preferred and len(busy) + len(unreachable) > most:
            # Busy targets are tried again before unreachable ones: if a zone is
            # down and the rest is full, the unreachable ones do not help.
            candidates = preferred + busy
        if candidates is not ending and len(unreachable) > most:
            candidates = preferred + busy + unreachable
        surcharge = min(_MOST_ZONE_SURCHARGE, kilobytes * _ZONE_SURCHARGE_PER_KILOBYTE)
        best = min(
            self._draw(candidates),
            key=lambda target: (
                self._expected(target, now) + (surcharge if target.zone != self._zone else 0.0)
            ),
        )
        return SelectedTarget(best, not preferred)

    def begin(self, target: KnownTarget) -> None:
        """A hop leaves for the target."""
        self._record(target.node).in_flight += 1

    def end(self, target: KnownTarget) -> None:
        """A hop to the target is over."""
        self._record(target.node).in_flight -= 1

    def note_load(self, target: KnownTarget, load: TargetLoad, now: float) -> None:
        """Records the load reported by the target or the proxy beside it."""
        self._record(target.node).note_load(load, now)

    def note_latency(self, target: KnownTarget, relative_latency: float, now: float) -> None:
        """Records an answer; `relative_latency` is its time divided by the latency aim."""
        self._record(target.node).note_success(relative_latency, now)
        usual = self._usual.get(target.upstream, relative_latency)
        self._usual[target.upstream] = usual + _LEARN_USUAL * (relative_latency - usual)

    def note_failure(self, target: KnownTarget, now: float) -> None:
        """Records a request that failed or was refused."""
        self._record(target.node).note_failure(now)

    def note_error(self, target: KnownTarget, now: float) -> None:
        """Records that the peer or its target could not be reached."""
        self._record(target.node).note_error(now)

    def note_unresponsive(self, peer: str, now: float) -> None:
        """Records that the peer is unresponsive."""
        self._unresponsive_until[peer] = now + _SHUN_SECONDS

    def note_refusal(self, target: KnownTarget, until: float) -> None:
        """Records that the guard refuses hops until that time."""
        self._record(target.node).refusing_until = until

    def _is_unreachable(self, target: KnownTarget, now: float) -> bool:
        record = self._record(target.node)
        return (
            target.node in self._view.suspects
            or now < record.unreachable_until
            or now < self._unresponsive_until.get(target.peer, 0.0)
        )

    def _draw(self, candidates: list[KnownTarget]) -> list[KnownTarget]:
        """A random sample, so that proxies with the same view do not all select one target."""
        if len(candidates) <= _NEAR_CANDIDATES + _FAR_CANDIDATES:
            return candidates
        near = [target for target in candidates if target.zone == self._zone]
        far = [target for target in candidates if target.zone != self._zone]
        if self._subset_key and len(near) > _SUBSET:
            # Ranked by hash: the subset changes little when targets come or go.
            near.sort(key=lambda target: self._record(target.node).rank)
            del near[_SUBSET:]
        return self._random.sample(near, min(len(near), _NEAR_CANDIDATES)) + self._random.sample(
            far, min(len(far), _FAR_CANDIDATES)
        )

    def _record(self, node: str) -> TargetRecord:
        record = self._records.get(node)
        if record is None:
            rank = zlib.crc32(f"{self._subset_key}|{node}".encode()) if self._subset_key else 0
            record = self._records[node] = TargetRecord(rank)
        return record

    def _expected(self, target: KnownTarget, now: float) -> float:
        record = self._record(target.node)
        use = record.slot_utilization(target.slots, now)
        # While slots are free, more load hardly slows a target; beyond them it queues.
        factor = 1.0 + 0.3 * use + 4.0 * max(0.0, use - 0.8)
        latency = record.relative_latency(self._usual.get(target.upstream, _FIRST_LATENCY), now)
        if target.cold_until > now:
            factor *= 3.0
        failing = _FAILURE_SURCHARGE * record.failure_share(now)
        return (latency * factor + failing) * (1.0 + 0.1 * self._random.random())
