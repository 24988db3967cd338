"""The slots that can serve requests now, as far as this registry knows."""

from collections.abc import Iterator
from datetime import UTC, datetime, timedelta

from marblefold import wire_names
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.maintenance.planning import LiveSlots
from marblefold.membership.members import Liveness
from marblefold.membership.node import NodeMembership
from marblefold.registry.catalogue import Catalogue
from marblefold.registry.leader_selection import LeaderSelection

__all__ = ["LiveCapacity"]

_LEADER_KEY = "maintenance"
# A registry does not know all targets right after its start.
_STARTUP_DELAY = timedelta(seconds=3)


class LiveCapacity:
    """The capacity and evacuation state that maintenance planning needs."""

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
        # Targets without a proxy beside them are as available as the platform lists them.
        self._has_proxies = has_proxies

    def is_maintenance_leader(self) -> bool:
        """Whether this registry is the one that runs maintenance windows."""
        return self._leader_selection.is_leader(_LEADER_KEY, _STARTUP_DELAY)

    def live_slots(self) -> LiveSlots:
        """Live slots by upstream and zone.

        Targets that are cold, draining, leaving, suspected, lost or evacuated do not count.
        """
        alive = {
            member.node
            for member in self._membership.members("proxy")
            if member.liveness is Liveness.ALIVE
        }
        slots: dict[tuple[str, str], int] = {}
        for notice in self._notices():
            is_counted = (
                notice.state == wire_names.READY
                and not notice.leaving
                and not notice.cold_left_ms
                and (not self._has_proxies or notice.node in alive)
                and self.evacuation(notice.zone) != b"on"
            )
            if is_counted:
                key = (notice.upstream, notice.zone)
                slots[key] = slots.get(key, 0) + notice.slots
        return LiveSlots(slots)

    def all_slots(self) -> dict[str, int]:
        """All slots by upstream, of ready and draining targets."""
        slots: dict[str, int] = {}
        for notice in self._notices():
            if notice.state in (wire_names.READY, wire_names.DRAINING):
                slots[notice.upstream] = slots.get(notice.upstream, 0) + notice.slots
        return slots

    def evacuation(self, zone: str) -> bytes:
        """The zone's evacuation state: on, off, window, or empty if none is known."""
        entry = self._catalogue.find("evacuation", zone)
        return entry.value if entry is not None else b""

    def window_zones(self) -> set[str]:
        """The zones that are evacuated for a maintenance window."""
        return {
            entry.key for entry in self._catalogue.entries("evacuation") if entry.value == b"window"
        }

    def now(self) -> datetime:
        """The current wall-clock time in UTC."""
        return datetime.now(UTC)

    def _notices(self) -> Iterator[messages_pb2.TargetNotice]:
        for entry in self._catalogue.entries("target"):
            yield messages_pb2.TargetNotice.FromString(entry.value)
