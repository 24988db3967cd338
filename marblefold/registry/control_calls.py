"""The calls of operators, and of targets that come here."""

from collections.abc import Callable
from typing import Any

from marblefold import wire_names
from marblefold.configuration.reading import InvalidConfiguration, read_configuration
from marblefold.errors import MeshError
from marblefold.http_connections.answer import Answer
from marblefold.http_connections.call_router import (
    Call,
    CallRouter,
    json_answer,
    outcome_unknown_answer,
)
from marblefold.logs import log
from marblefold.register_store.call_kinds import Outcome, RegisterCallKind
from marblefold.register_store.changes import EvacuationState
from marblefold.register_store.register_client import RegisterClient
from marblefold.registry.fenced_orders import set_fenced

__all__ = ["ControlCalls"]

_LARGEST_CONFIGURATION = 64 * 1024 * 1024
_CONFIGURATION_REGISTER = "configuration"
# Callers go on to another node after a second of silence.
_BASE_SECONDS = 0.6


class ControlCalls:
    """Checks what operators ask and has the stores hold it."""

    def __init__(
        self,
        store_client: RegisterClient,
        zones: Callable[[], set[str]],
        state: Callable[[], dict[str, Any]],
        evacuation_number: Callable[[str], int | None] = lambda zone: None,
    ) -> None:
        self._store_client = store_client
        self._zones = zones
        self._state = state
        # The number of a zone's register as far as it is known here.
        self._evacuation_number = evacuation_number

    def add_to(self, router: CallRouter) -> None:
        """Serves these calls at the router."""
        router.add("PUT", wire_names.CONFIGURATION_PATH, self._replace, _LARGEST_CONFIGURATION)
        router.add("GET", wire_names.CONFIGURATION_PATH, self._describe)
        router.add("GET", wire_names.STATE_PATH, self._show_state)
        router.add("PUT", wire_names.EVACUATION_PATH, self._start_evacuation)
        router.add("DELETE", wire_names.EVACUATION_PATH, self._stop_evacuation)

    async def _show_state(self, _call: Call) -> Answer:
        return json_answer(200, self._state())

    async def _replace(self, call: Call) -> Answer:
        try:
            number = read_configuration(call.body).config_version
        except InvalidConfiguration as invalid:
            log.info("configuration refused", faults=invalid.faults[:5])
            return json_answer(400, {wire_names.REASON: invalid.faults[:50]})
        try:
            # The body goes as it was sent: contents are compared byte for byte.
            held = await self._store_client.ask(
                RegisterCallKind.CONFIGURATION, _CONFIGURATION_REGISTER, number, call.body
            )
        except MeshError as error:
            return outcome_unknown_answer(error)
        if Outcome.read(held.outcome) is Outcome.CONFLICT:
            return _answer_conflict(held.number)
        log.info("configuration held", number=number, newest=held.number)
        return json_answer(200, {wire_names.CONFIG_VERSION: number})

    async def _describe(self, _call: Call) -> Answer:
        try:
            held = await self._store_client.ask(RegisterCallKind.DESCRIBE, _CONFIGURATION_REGISTER)
        except MeshError as error:
            return outcome_unknown_answer(error)
        if not held.value:
            return json_answer(404, {wire_names.REASON: "no configuration yet"})
        return Answer(200, header_block=b"Content-Type: application/json\r\n", body=held.value)

    async def _start_evacuation(self, call: Call) -> Answer:
        return await self._evacuate(call.subject, EvacuationState.ON)

    async def _stop_evacuation(self, call: Call) -> Answer:
        return await self._evacuate(call.subject, EvacuationState.OFF)

    async def _evacuate(self, zone: str, state: EvacuationState) -> Answer:
        if zone not in self._zones():
            return json_answer(404, {wire_names.REASON: f"zone: no zone {zone!r}"})
        try:
            number = await set_fenced(
                self._store_client,
                "evacuation/" + zone,
                state,
                lambda: self._evacuation_number(zone),
            )
        except MeshError as error:
            return outcome_unknown_answer(error)
        log.info("evacuation held", zone=zone, state=state.name, number=number)
        return json_answer(200, {})


def _answer_conflict(number: int) -> Answer:
    """Another content was confirmed under the number; sending again changes nothing."""
    reason = f"{wire_names.CONFIG_VERSION}: {number} holds with another content"
    log.warning("configuration refused", number=number, reason=reason)
    return json_answer(409, {wire_names.REASON: reason, wire_names.CONFIG_VERSION: number})
