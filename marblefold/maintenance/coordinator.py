"""Starts and ends maintenance windows, evacuating and restoring their zones.

This is a singleton task of the leading registry.  All floors and windows are
stored in one register, and every step changes it by compare-and-set on its
number.  That number is the fencing token: a registry that acts on an older
document, after a partition, a restart or a long pause, is refused.
"""

import asyncio
from datetime import datetime
from typing import Protocol

from marblefold.errors import MeshError
from marblefold.logs import log
from marblefold.maintenance.model import MaintenanceDocument, Window, WindowState
from marblefold.maintenance.planning import LiveSlots, change_state, find_shortfalls, plan_windows
from marblefold.register_store.call_kinds import RegisterCallKind
from marblefold.register_store.changes import EvacuationState
from marblefold.register_store.register_client import RegisterClient

__all__ = ["MaintenanceCoordinator", "MAINTENANCE_REGISTER", "MeshState"]

MAINTENANCE_REGISTER = "maintenance"
_ROUND_INTERVAL_SECONDS = 1.0


class MeshState(Protocol):
    """The state of the mesh that the coordinator reads."""

    def is_maintenance_leader(self) -> bool: ...

    def live_slots(self) -> LiveSlots: ...

    def evacuation(self, zone: str) -> bytes: ...

    def window_zones(self) -> set[str]: ...

    def now(self) -> datetime: ...


class MaintenanceCoordinator:
    """Keeps the newest known document and acts on it while this registry is the leader."""

    def __init__(self, store_client: RegisterClient, mesh_state: MeshState) -> None:
        self.document = MaintenanceDocument({}, {})
        self.number = 0
        self._store_client = store_client
        self._mesh_state = mesh_state
        self._logged_shortfalls: list[str] = []

    def apply_document(self, number: int, value: bytes) -> None:
        """Applies a document that a majority of the stores accepted; ignores older numbers."""
        if number > self.number:
            self.number = number
            self.document = MaintenanceDocument.read(value)

    async def run(self) -> None:
        """Runs a step every second, forever; without windows it does nothing."""
        while True:
            await asyncio.sleep(_ROUND_INTERVAL_SECONDS)
            if not self.document.windows or not self._mesh_state.is_maintenance_leader():
                continue
            try:
                await self.step()
            except MeshError as error:
                log.warning(
                    "maintenance round failed; retrying", step=error.step, reason=error.reason
                )

    async def step(self) -> None:
        """Plans the windows, stores the plan, then acts on the stored plan.

        Raises MeshError if no majority of the stores answers.
        """
        mesh_state = self._mesh_state
        planned = plan_windows(self.document, mesh_state.live_slots(), mesh_state.now())
        if planned != self.document and not await self._store(planned):
            return
        # A zone is evacuated only for a window that a majority has stored as running.
        advanced = self.document
        for window in self.document.windows.values():
            advanced = advanced.with_window(await self._advance(window))
        if advanced != self.document:
            await self._store(advanced)
        await self._release_unused_zones()
        self._warn_of_shortfalls()

    async def _advance(self, window: Window) -> Window:
        """Evacuates or restores the window's zone as its state requires; the updated window."""
        if window.state is WindowState.RUNNING and not window.is_evacuated:
            evacuated = await self._change_zone(RegisterCallKind.WINDOW_EMPTY, window.zone)
            # Another request changed the zone meanwhile; the next round re-evaluates it.
            if evacuated is EvacuationState.OFF:
                return window
            log.info("maintenance window started", window=window.name, zone=window.zone)
            return window._replace(is_evacuated=True)
        if (
            window.state is WindowState.RUNNING
            and self._mesh_state.evacuation(window.zone) == EvacuationState.OFF.value
        ):
            # An operator's request takes precedence over the window.
            return change_state(
                window, WindowState.FINISHED, is_evacuated=False, reason="taken back by an operator"
            )
        if window.state.is_over and window.is_evacuated:
            if not self._is_zone_in_use(window.zone):
                released = await self._change_zone(RegisterCallKind.WINDOW_RELEASE, window.zone)
                if released is EvacuationState.WINDOW:
                    return window
                log.info("maintenance window ended", window=window.name, zone=window.zone)
            return window._replace(is_evacuated=False)
        return window

    async def _release_unused_zones(self) -> None:
        """Restores zones that a delayed action of an earlier leader evacuated."""
        for zone in self._mesh_state.window_zones():
            if not self._is_zone_in_use(zone):
                await self._change_zone(RegisterCallKind.WINDOW_RELEASE, zone)
                log.warning("restored a zone that no running window needs", zone=zone)

    async def _change_zone(self, kind: RegisterCallKind, zone: str) -> EvacuationState:
        """Changes the zone's evacuation, fenced by its current number; returns the new state."""
        register = "evacuation/" + zone
        current = await self._store_client.ask(RegisterCallKind.DESCRIBE, register)
        changed = await self._store_client.ask(kind, register, current.number)
        return EvacuationState.read(changed.value)

    def _is_zone_in_use(self, zone: str) -> bool:
        return any(
            window.zone == zone and window.state is WindowState.RUNNING
            for window in self.document.windows.values()
        )

    async def _store(self, document: MaintenanceDocument) -> bool:
        """Whether the document was stored; refused if the number known here is outdated."""
        value = document.pack()
        answer = await self._store_client.ask(
            RegisterCallKind.MAINTENANCE, MAINTENANCE_REGISTER, self.number, value
        )
        self.apply_document(answer.number, answer.value)
        return answer.value == value

    def _warn_of_shortfalls(self) -> None:
        zones = {
            window.zone
            for window in self.document.windows.values()
            if window.state is WindowState.RUNNING
        }
        missing = find_shortfalls(self.document.floors, self._mesh_state.live_slots(), zones)
        # Logged once per change instead of every second.
        if zones and missing != self._logged_shortfalls and missing:
            log.warning(
                "capacity is below a floor while windows run", zones=sorted(zones), missing=missing
            )
        self._logged_shortfalls = missing
