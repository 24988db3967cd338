"""The duty of one registry: starts and ends windows, evacuating and restoring their zones.

All floors and windows are one register, and every step changes it at a known
number.  That number is the fencing token: a registry that acts on an older
document, after a partition, a restart or a long pause, is refused.
"""

import asyncio
from datetime import datetime
from typing import Protocol

from marblefold.errors import MeshError
from marblefold.logs import log
from marblefold.maintenance.model import Document, Window, WindowState
from marblefold.maintenance.planning import LiveSlots, change_state, plan_windows, shortfalls
from marblefold.register_store.call_kinds import RegisterCallKind
from marblefold.register_store.changes import EvacuationState
from marblefold.register_store.register_client import RegisterClient

__all__ = ["MaintenanceDuty", "REGISTER", "Surroundings"]

REGISTER = "maintenance"
_ROUND_SECONDS = 1.0


class Surroundings(Protocol):
    """What the duty needs to know of the mesh."""

    def is_maintenance_leader(self) -> bool: ...

    def live_slots(self) -> LiveSlots: ...

    def evacuation(self, zone: str) -> bytes: ...

    def window_zones(self) -> set[str]: ...

    def now(self) -> datetime: ...


class MaintenanceDuty:
    """Holds the newest document known and acts on it while this registry has the duty."""

    def __init__(self, store_client: RegisterClient, surroundings: Surroundings) -> None:
        self.document = Document({}, {})
        self.number = 0
        self._store_client = store_client
        self._surroundings = surroundings
        self._warned: list[str] = []

    def take(self, number: int, value: bytes) -> None:
        """Takes in a document that a majority of the stores holds."""
        if number > self.number:
            self.number = number
            self.document = Document.read(value)

    async def run(self) -> None:
        """One step a second, for ever; without windows it does nothing."""
        while True:
            await asyncio.sleep(_ROUND_SECONDS)
            if not self.document.windows or not self._surroundings.is_maintenance_leader():
                continue
            try:
                await self.step()
            except MeshError as error:
                log.warning("maintenance", step=error.step, reason=error.reason)

    async def step(self) -> None:
        """Plans, stores the plan, then acts on what is stored.

        Raises MeshError where no majority of the stores answers.
        """
        surroundings = self._surroundings
        planned = plan_windows(self.document, surroundings.live_slots(), surroundings.now())
        if planned != self.document and not await self._hold(planned):
            return
        # A zone is evacuated only for a window that a majority holds as running.
        acted = self.document
        for window in self.document.windows.values():
            acted = acted.with_window(await self._act(window))
        if acted != self.document:
            await self._hold(acted)
        await self._release_left_over()
        self._warn_of_shortfalls()

    async def _act(self, window: Window) -> Window:
        if window.state is WindowState.RUNNING and not window.is_emptied:
            emptied = await self._change_zone(RegisterCallKind.WINDOW_EMPTY, window.zone)
            # Another order came in between: judged anew in the next round.
            if emptied is EvacuationState.OFF:
                return window
            log.info("window runs", window=window.name, zone=window.zone)
            return window._replace(is_emptied=True)
        if (
            window.state is WindowState.RUNNING
            and self._surroundings.evacuation(window.zone) == EvacuationState.OFF.value
        ):
            # The operator's own order takes precedence.
            return change_state(
                window, WindowState.FINISHED, is_emptied=False, reason="taken back by an operator"
            )
        if window.state.is_over and window.is_emptied:
            if not self._is_zone_in_use(window.zone):
                released = await self._change_zone(RegisterCallKind.WINDOW_RELEASE, window.zone)
                if released is EvacuationState.WINDOW:
                    return window
                log.info("window over", window=window.name, zone=window.zone)
            return window._replace(is_emptied=False)
        return window

    async def _release_left_over(self) -> None:
        """Restores zones that a delayed action of an earlier holder evacuated."""
        for zone in self._surroundings.window_zones():
            if not self._is_zone_in_use(zone):
                await self._change_zone(RegisterCallKind.WINDOW_RELEASE, zone)
                log.warning("zone was emptied for no window", zone=zone)

    async def _change_zone(self, kind: RegisterCallKind, zone: str) -> EvacuationState:
        """What holds for the zone after a change that is tied to what held before it."""
        register = "evacuation/" + zone
        base = await self._store_client.ask(RegisterCallKind.DESCRIBE, register)
        held = await self._store_client.ask(kind, register, base.number)
        return EvacuationState.read(held.value)

    def _is_zone_in_use(self, zone: str) -> bool:
        return any(
            window.zone == zone and window.state is WindowState.RUNNING
            for window in self.document.windows.values()
        )

    async def _hold(self, document: Document) -> bool:
        """Whether the document was stored at the number it was made from."""
        value = document.pack()
        answer = await self._store_client.ask(
            RegisterCallKind.MAINTENANCE, REGISTER, self.number, value
        )
        self.take(answer.number, answer.value)
        return answer.value == value

    def _warn_of_shortfalls(self) -> None:
        zones = {
            window.zone
            for window in self.document.windows.values()
            if window.state is WindowState.RUNNING
        }
        missing = shortfalls(self.document.floors, self._surroundings.live_slots(), zones)
        # Logged once for each change, not every second.
        if zones and missing != self._warned and missing:
            log.warning("below floor while windows run", zones=sorted(zones), missing=missing)
        self._warned = missing
