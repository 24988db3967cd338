"""The slots that can be counted on now, as this registry knows them."""

from collections.abc import Iterator
from datetime import UTC, datetime, timedelta

from marblefold import wire_names
from marblefold.inner_protocol.messages import kinds
from marblefold.maintenance.planning import LiveSlots
from marblefold.membership.members import Liveness
from marblefold.membership.node import NodeMembership
from marblefold.registry.catalogue import Catalogue
from marblefold.registry.leader_selection import LeaderSelection

__all__ = ["LiveCapacity"]

_LEADER_KEY = "maintenance"
# Right after its start a registry does not know all targets yet.
_STARTUP_DELAY = timedelta(seconds=3)


class LiveCapacity:
    """Answers what the maintenance duty asks of the mesh."""

    def __init__(
        self,
        catalogue: Catalogue,
        membership: NodeMembership,
        leader_selection: LeaderSelection,
        has_proxies: bool,
    ) -> None:
        self._catalogue = catalogue
        self._membership = membership
        self._leader_selection = leader_selection
        # Without proxies beside them, targets live as the platform says.
        self._has_proxies = has_proxies

    def is_maintenance_leader(self) -> bool:
        """Whether the duty's key falls to this registry among those that live."""
        return self._leader_selection.is_leader(_LEADER_KEY, _STARTUP_DELAY)

    def live_slots(self) -> LiveSlots:
        """The live slots: cold, draining, leaving, suspected, lost and evacuated ones left out."""
        alive = {
            member.node
            for member in self._membership.members("proxy")
            if member.liveness is Liveness.ALIVE
        }
        slots: dict[tuple[str, str], int] = {}
        for notice in self._notices():
            counts = (
                notice.state == wire_names.READY
                and not notice.leaving
                and not notice.cold_left_ms
                and (not self._has_proxies or notice.node in alive)
                and self.evacuation(notice.zone) != b"on"
            )
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
        return {
            entry.key for entry in self._catalogue.entries("evacuation") if entry.value == b"window"
        }

    def now(self) -> datetime:
        """The time of day."""
        return datetime.now(UTC)

    def _notices(self) -> Iterator[kinds.TargetNotice]:
        for entry in self._catalogue.entries("target"):
            yield kinds.TargetNotice.FromString(entry.value)
