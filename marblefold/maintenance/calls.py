"""Administration calls for maintenance windows and capacity floors."""

from collections.abc import Callable
from datetime import UTC, datetime, timedelta

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.http_connections.answer import Answer
from marblefold.http_connections.call_router import (
    Call,
    CallRouter,
    invalid_order_answer,
    json_answer,
    outcome_unknown_answer,
)
from marblefold.maintenance.coordinator import MAINTENANCE_REGISTER
from marblefold.maintenance.model import (
    MaintenanceDocument,
    WindowState,
    read_floors_body,
    read_window_body,
)
from marblefold.maintenance.planning import change_state
from marblefold.register_store.call_kinds import Outcome, RegisterCallKind
from marblefold.register_store.register_client import RegisterClient

__all__ = ["MaintenanceCalls"]

_MAX_ATTEMPTS = 5
_RETRY_AFTER_SECONDS = 0.2
_RETENTION = timedelta(days=2)
# Sending the same window again in one of these states changes nothing, so that a finished
# window does not run twice.
_STATES_UNCHANGED_BY_RESEND = (
    WindowState.PLANNED,
    WindowState.SHIFTED,
    WindowState.WAITING,
    WindowState.FINISHED,
)


class _ChangeRefusedError(Exception):
    """A change that conflicts with the current document, with the HTTP status for the caller."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class MaintenanceCalls:
    """Validates operators' requests and writes their changes to the stores."""

    def __init__(
        self,
        store_client: RegisterClient,
        zones: Callable[[], set[str]],
        capacity: Callable[[], dict[str, int]],
    ) -> None:
        self._store_client = store_client
        self._zones = zones
        self._capacity = capacity

    def add_to(self, router: CallRouter) -> None:
        """Registers the handlers with the router."""
        router.add("GET", wire_names.MAINTENANCE_PATH, self._list)
        router.add("PUT", wire_names.FLOORS_PATH, self._set_floors)
        router.add("PUT", wire_names.WINDOW_PATH, self._set_window)
        router.add("DELETE", wire_names.WINDOW_PATH, self._withdraw)

    async def _list(self, _call: Call) -> Answer:
        try:
            current = await self._store_client.ask(RegisterCallKind.DESCRIBE, MAINTENANCE_REGISTER)
        except MeshError as error:
            return outcome_unknown_answer(error)
        document = MaintenanceDocument.read(current.value)
        windows = sorted(document.windows.values(), key=lambda window: window.expected_start)
        return json_answer(
            200,
            {"floors": document.floors, "windows": [window.to_json_object() for window in windows]},
        )

    async def _set_floors(self, call: Call) -> Answer:
        try:
            floors = read_floors_body(call.body, self._capacity())
        except ExceptionGroup as group:
            return invalid_order_answer(group)
        return await self._change(lambda document: document._replace(floors=floors))

    async def _set_window(self, call: Call) -> Answer:
        try:
            window = read_window_body(call.subject, call.body, self._zones())
        except ExceptionGroup as group:
            return invalid_order_answer(group)

        def change(document: MaintenanceDocument) -> MaintenanceDocument:
            existing = document.windows.get(window.name)
            # Resent after a lost response: it was accepted before, whatever its state is now.
            if (
                existing is not None
                and existing.is_same_request(window)
                and existing.state in _STATES_UNCHANGED_BY_RESEND
            ):
                return document
            # A window that runs, or whose zone has yet to be restored, is not overwritten.
            if existing is not None and (
                existing.state is WindowState.RUNNING or existing.is_evacuated
            ):
                raise _ChangeRefusedError(409, f"window {window.name} is running")
            return _remove_expired_windows(document).with_window(window)

        return await self._change(change)

    async def _withdraw(self, call: Call) -> Answer:
        def change(document: MaintenanceDocument) -> MaintenanceDocument:
            existing = document.windows.get(call.subject)
            if existing is None:
                raise _ChangeRefusedError(404, f"no window {call.subject!r}")
            if existing.state.is_over:
                return document
            return document.with_window(
                change_state(existing, WindowState.WITHDRAWN, reason="withdrawn by an operator")
            )

        return await self._change(change)

    async def _change(self, change: Callable[[MaintenanceDocument], MaintenanceDocument]) -> Answer:
        """Applies the change by compare-and-set on the document's number; retries on a conflict."""
        try:
            for _ in range(_MAX_ATTEMPTS):
                current = await self._store_client.ask(
                    RegisterCallKind.DESCRIBE, MAINTENANCE_REGISTER
                )
                value = change(MaintenanceDocument.read(current.value)).pack()
                if value == current.value:
                    return json_answer(200, {})
                answer = await self._store_client.ask(
                    RegisterCallKind.MAINTENANCE, MAINTENANCE_REGISTER, current.number, value
                )
                if Outcome.read(answer.outcome) is Outcome.APPLIED:
                    return json_answer(200, {})
        except _ChangeRefusedError as error:
            return json_answer(error.status, {wire_names.REASON: str(error)})
        except MeshError as error:
            return outcome_unknown_answer(error)
        return json_answer(
            503, {wire_names.REASON: "others change it all the time"}, _RETRY_AFTER_SECONDS
        )


def _remove_expired_windows(document: MaintenanceDocument) -> MaintenanceDocument:
    """Drops final windows, zone restored, whose latest end is older than the retention time."""
    cutoff = datetime.now(UTC) - _RETENTION
    return document._replace(
        windows={
            name: window
            for name, window in document.windows.items()
            if window.is_evacuated or not window.state.is_over or window.latest_end > cutoff
        }
    )
