"""Selects the target of the next hop."""

import random
import zlib
from collections.abc import Collection
from typing import NamedTuple

from marblefold.request_path.distance_cost import DistanceCost
from marblefold.request_path.eligibility import is_eligible, is_last_resort
from marblefold.request_path.mesh_view import KnownTarget, MeshView
from marblefold.request_path.outcome import TargetLoad
from marblefold.request_path.target_record import TargetRecord

__all__ = ["SelectedTarget", "TargetSelector"]

# How long an unresponsive peer is avoided if others can serve.
_UNRESPONSIVE_SECONDS = 1.0
# If more than this share of an upstream would be avoided, none is: they are unlikely
# to be all at fault, and the rest could not take the load.
_MAX_AVOIDED_SHARE = 0.5
# The cost, as a multiple of the latency target, of a target that fails every request.
_FAILURE_SURCHARGE = 3.0
_INITIAL_RELATIVE_LATENCY = 0.3
_USUAL_LATENCY_SMOOTHING = 0.02
_NEAR_CANDIDATES = 4
_FAR_CANDIDATES = 2
# The number of targets in its own zone that a process uses, so that its connections
# to them stay open.
_SUBSET_SIZE = 6


class SelectedTarget(NamedTuple):
    """The selected target, and whether it is a last resort: no preferred target was left."""

    target: KnownTarget
    is_last_resort: bool


class TargetSelector:
    """Tracks how targets perform and selects the one likely to answer first.

    All times are monotonic seconds.
    """

    def __init__(
        self,
        view: MeshView,
        zone: str,
        seed: int | None = None,
        subset_key: str = "",
        has_guards: bool = True,
        distance: DistanceCost | None = None,
    ) -> None:
        self._view = view
        # A draining target is a last resort only behind a guard, which knows for how
        # long it still serves; without a guard it is never selected.
        self._has_guards = has_guards
        self._zone = zone
        self._distance = distance or DistanceCost(zone)
        self._records: dict[str, TargetRecord] = {}
        self._usual_latency: dict[str, float] = {}
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
        """Returns the target for the next hop, or None if none is eligible."""
        preferred: list[KnownTarget] = []
        busy: list[KnownTarget] = []
        unreachable: list[KnownTarget] = []
        shutting_down: list[KnownTarget] = []
        owner = self._view.owners.get(upstream)
        for target in self._view.targets(upstream):
            if target.instance in tried:
                continue
            if not is_eligible(target, self._view.evacuated, allowed_regions, owner):
                continue
            if is_last_resort(target):
                if self._has_guards:
                    shutting_down.append(target)
            elif self._is_unreachable(target, now):
                unreachable.append(target)
            elif now < self._record(target.node).refusing_until:
                busy.append(target)
            else:
                preferred.append(target)
        # A busy target is better than one that may be unreachable, and that is
        # better than one that is shutting down.
        candidates = preferred or busy or unreachable or shutting_down
        if not candidates:
            return None
        max_avoided = _MAX_AVOIDED_SHARE * (len(preferred) + len(busy) + len(unreachable))
        if preferred and len(busy) + len(unreachable) > max_avoided:
            # Busy targets are tried again before unreachable ones: if a zone is down
            # and the remaining targets are full, the unreachable ones do not help.
            candidates = preferred + busy
        if candidates is not shutting_down and len(unreachable) > max_avoided:
            candidates = preferred + busy + unreachable
        best = min(
            self._sample(candidates, kilobytes),
            key=lambda target: (
                self._expected_cost(target, now) + self._distance.cost(target, kilobytes)
            ),
        )
        return SelectedTarget(best, not preferred)

    def begin(self, target: KnownTarget) -> None:
        """Records that a hop to the target was sent."""
        self._record(target.node).in_flight += 1

    def end(self, target: KnownTarget) -> None:
        """Records that a hop to the target ended."""
        self._record(target.node).in_flight -= 1

    def note_load(self, target: KnownTarget, load: TargetLoad, now: float) -> None:
        """Records the load reported by the target or the proxy beside it."""
        self._record(target.node).note_load(load, now)

    def note_latency(self, target: KnownTarget, relative_latency: float, now: float) -> None:
        """Records an answer; `relative_latency` is its time divided by the latency target."""
        self._record(target.node).note_success(relative_latency, now)
        usual = self._usual_latency.get(target.upstream, relative_latency)
        self._usual_latency[target.upstream] = usual + _USUAL_LATENCY_SMOOTHING * (
            relative_latency - usual
        )

    def note_failure(self, target: KnownTarget, now: float) -> None:
        """Records a request that failed or was refused."""
        self._record(target.node).note_failure(now)

    def note_error(self, target: KnownTarget, now: float) -> None:
        """Records that the peer or its target could not be reached."""
        self._record(target.node).note_error(now)

    def note_unresponsive(self, peer: str, now: float) -> None:
        """Records that the peer is unresponsive."""
        self._unresponsive_until[peer] = now + _UNRESPONSIVE_SECONDS

    def note_refusal(self, target: KnownTarget, until: float) -> None:
        """Records that the guard is expected to refuse hops until that time."""
        self._record(target.node).refusing_until = until

    def _is_unreachable(self, target: KnownTarget, now: float) -> bool:
        record = self._record(target.node)
        return (
            target.node in self._view.suspects
            or now < record.unreachable_until
            or now < self._unresponsive_until.get(target.peer, 0.0)
        )

    def _sample(self, candidates: list[KnownTarget], kilobytes: float) -> list[KnownTarget]:
        """Samples randomly, so that proxies with the same view do not all select one target."""
        if len(candidates) <= _NEAR_CANDIDATES + _FAR_CANDIDATES:
            return candidates
        near = [target for target in candidates if target.zone == self._zone]
        far = [target for target in candidates if target.zone != self._zone]
        if self._subset_key and len(near) > _SUBSET_SIZE:
            # Ranked by hash, so that the subset changes little when targets come or go.
            near.sort(key=lambda target: self._record(target.node).rank)
            del near[_SUBSET_SIZE:]
        sample = self._random.sample(near, min(len(near), _NEAR_CANDIDATES))
        sample += self._random.sample(far, min(len(far), _FAR_CANDIDATES))
        local = self._distance.find_local(candidates, kilobytes)
        return sample if local is None or local in sample else [*sample, local]

    def _record(self, node: str) -> TargetRecord:
        record = self._records.get(node)
        if record is None:
            rank = zlib.crc32(f"{self._subset_key}|{node}".encode()) if self._subset_key else 0
            record = self._records[node] = TargetRecord(rank)
        return record

    def _expected_cost(self, target: KnownTarget, now: float) -> float:
        record = self._record(target.node)
        utilization = record.slot_utilization(target.slots, now)
        # While slots are free, more load hardly slows a target; above that, requests queue.
        factor = 1.0 + 0.3 * utilization + 4.0 * max(0.0, utilization - 0.8)
        latency = record.relative_latency(
            self._usual_latency.get(target.upstream, _INITIAL_RELATIVE_LATENCY), now
        )
        if target.cold_until > now:
            factor *= 3.0
        failure_cost = _FAILURE_SURCHARGE * record.failure_share(now)
        return (latency * factor + failure_cost) * (1.0 + 0.1 * self._random.random())
