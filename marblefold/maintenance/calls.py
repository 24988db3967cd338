"""The administration calls for windows and floors."""

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
from marblefold.maintenance.duty import REGISTER
from marblefold.maintenance.model import Document, WindowState, read_floors_body, read_window_body
from marblefold.maintenance.planning import change_state
from marblefold.register_store.call_kinds import Outcome, RegisterCallKind
from marblefold.register_store.register_client import RegisterClient

__all__ = ["MaintenanceCalls"]

_TRIES = 5
_RETRY_SECONDS = 0.2
_KEPT = timedelta(days=2)
# The same wish again changes nothing in these; one that ran does not run twice.
_STANDING = (
    WindowState.PLANNED,
    WindowState.SHIFTED,
    WindowState.WAITING,
    WindowState.FINISHED,
)


class _Refused(Exception):
    """The change makes no sense for the document as it is."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class MaintenanceCalls:
    """Reads, checks and has the stores hold what operators ask."""

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
        """Serves these calls at the router."""
        router.add("GET", wire_names.MAINTENANCE_PATH, self._list)
        router.add("PUT", wire_names.FLOORS_PATH, self._set_floors)
        router.add("PUT", wire_names.WINDOW_PATH, self._set_window)
        router.add("DELETE", wire_names.WINDOW_PATH, self._withdraw)

    async def _list(self, _call: Call) -> Answer:
        try:
            held = await self._store_client.ask(RegisterCallKind.DESCRIBE, REGISTER)
        except MeshError as error:
            return outcome_unknown_answer(error)
        document = Document.read(held.value)
        windows = sorted(document.windows.values(), key=lambda window: window.expected_start)
        return json_answer(
            200, {"floors": document.floors, "windows": [window.to_plain() for window in windows]}
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

        def change(document: Document) -> Document:
            known = document.windows.get(window.name)
            # Sent again after a lost answer: it was taken, wherever it stands now.
            if known is not None and known.is_wished_like(window) and known.state in _STANDING:
                return document
            # What runs, or still has its zone to give back, is not overwritten.
            if known is not None and (known.state is WindowState.RUNNING or known.is_emptied):
                raise _Refused(409, f"window {window.name} is running")
            return _without_old(document).with_window(window)

        return await self._change(change)

    async def _withdraw(self, call: Call) -> Answer:
        def change(document: Document) -> Document:
            known = document.windows.get(call.subject)
            if known is None:
                raise _Refused(404, f"no window {call.subject!r}")
            if known.state.is_over:
                return document
            return document.with_window(
                change_state(known, WindowState.WITHDRAWN, reason="withdrawn by an operator")
            )

        return await self._change(change)

    async def _change(self, change: Callable[[Document], Document]) -> Answer:
        """Changes the document at the number it was read at, or tries again."""
        try:
            for _ in range(_TRIES):
                held = await self._store_client.ask(RegisterCallKind.DESCRIBE, REGISTER)
                value = change(Document.read(held.value)).pack()
                if value == held.value:
                    return json_answer(200, {})
                answer = await self._store_client.ask(
                    RegisterCallKind.MAINTENANCE, REGISTER, held.number, value
                )
                if Outcome.read(answer.outcome) is Outcome.APPLIED:
                    return json_answer(200, {})
        except _Refused as refused:
            return json_answer(refused.status, {wire_names.REASON: str(refused)})
        except MeshError as error:
            return outcome_unknown_answer(error)
        return json_answer(
            503, {wire_names.REASON: "others change it all the time"}, _RETRY_SECONDS
        )


def _without_old(document: Document) -> Document:
    """What is long over need not be carried for ever."""
    oldest = datetime.now(UTC) - _KEPT
    return document._replace(
        windows={
            name: window
            for name, window in document.windows.items()
            if window.is_emptied or not window.state.is_over or window.latest_end > oldest
        }
    )
