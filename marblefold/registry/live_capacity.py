"""The slots that can be counted on now, as this registry knows them."""

import time
import zlib
from datetime import datetime, timezone
from typing import Callable

from marblefold import wire_names
from marblefold.inner_protocol.messages import kinds
from marblefold.maintenance.planning import LiveSlots
from marblefold.membership.members import Liveness
from marblefold.membership.node import NodeMembership
from marblefold.registry.catalogue import Catalogue

__all__ = ["LiveCapacity"]

_DUTY_KEY = "maintenance"
# Right after its start a registry has not heard of all there is.
_SETTLING_SECONDS = 3.0


class LiveCapacity:
    """Answers what the maintenance duty asks of the mesh."""

    def __init__(
        self, catalogue: Catalogue, membership: NodeMembership, own: str,
        registries: Callable[[], set[str]], is_in_touch: Callable[[], bool],
    ) -> None:
        self._catalogue = catalogue
        self._membership = membership
        self._own = own
        self._registries = registries
        self._is_in_touch = is_in_touch
        self._began = time.monotonic()

    def is_duty_holder(self) -> bool:
        """Whether the duty's key falls to this registry among those that live."""
        if time.monotonic() - self._began < _SETTLING_SECONDS or not self._is_in_touch():
            return False
        alive = {member.address for member in self._membership.members("registry")
                 if member.liveness is Liveness.ALIVE}
        candidates = (alive | {self._own}) & (self._registries() | {self._own})
        return max(candidates, key=lambda mate: (_rank(mate), mate)) == self._own

    def live_slots(self) -> LiveSlots:
        """Cold, draining, leaving, suspected, lost and evacuated ones left out."""
        alive = {member.node for member in self._membership.members("proxy")
                 if member.liveness is Liveness.ALIVE}
        slots: dict[tuple[str, str], int] = {}
        for notice in self._notices():
            counts = (
                notice.state == wire_names.READY and not notice.leaving
                and not notice.cold_left_ms and notice.node in alive
                and self.evacuation(notice.zone) != b"on")
            if counts:
                key = (notice.upstream, notice.zone)
                slots[key] = slots.get(key, 0) + notice.slots
        return LiveSlots(slots)

    def all_slots(self) -> dict[str, int]:
        """All slots there are by upstream, whatever their state."""
        slots: dict[str, int] = {}
        for notice in self._notices():
            if notice.state in (wire_names.READY, wire_names.DRAINING):
                slots[notice.upstream] = slots.get(notice.upstream, 0) + notice.slots
        return slots

    def evacuation(self, zone: str) -> bytes:
        """What holds for the zone: on, off, window, or nothing."""
        entry = self._catalogue.find("evacuation", zone)
        return entry.value if entry is not None else b""

    def window_zones(self) -> set[str]:
        """The zones that are evacuated for a window."""
        return {entry.key for entry in self._catalogue.entries("evacuation")
                if entry.value == b"window"}

    def now(self) -> datetime:
        """The time of day."""
        return datetime.now(timezone.utc)

    def _notices(self):
        for entry in self._catalogue.entries("target"):
            yield kinds.TargetNotice.FromString(entry.value)


def _rank(mate: str) -> int:
    return zlib.crc32(f"{_DUTY_KEY}|{mate}".encode())
