"""HTTP calls of operators: the configuration, evacuations and the registry's state."""

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
from marblefold.registry.fenced_writes import write_fenced

__all__ = ["ControlCalls"]

_MAX_CONFIGURATION_BYTES = 64 * 1024 * 1024
_CONFIGURATION_REGISTER = "configuration"
# Clients retry at another node after one second without an answer.


class ControlCalls:
    """Validates the commands of operators and writes them to the stores."""

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
        # The number of a zone's evacuation register if this registry knows it, else None.
        self._evacuation_number = evacuation_number

    def add_to(self, router: CallRouter) -> None:
        """Registers these calls with the router."""
        router.add(
            "PUT",
            wire_names.CONFIGURATION_PATH,
            self._replace_configuration,
            _MAX_CONFIGURATION_BYTES,
        )
        router.add("GET", wire_names.CONFIGURATION_PATH, self._describe_configuration)
        router.add("GET", wire_names.STATE_PATH, self._show_state)
        router.add("PUT", wire_names.EVACUATION_PATH, self._start_evacuation)
        router.add("DELETE", wire_names.EVACUATION_PATH, self._stop_evacuation)

    async def _show_state(self, _call: Call) -> Answer:
        return json_answer(200, self._state())

    async def _replace_configuration(self, call: Call) -> Answer:
        try:
            number = read_configuration(call.body).config_version
        except InvalidConfiguration as invalid:
            log.info("configuration rejected", faults=invalid.problems[:5])
            return json_answer(400, {wire_names.REASON: invalid.problems[:50]})
        try:
            # The body is stored as received: stores compare contents byte for byte.
            stored = await self._store_client.ask(
                RegisterCallKind.CONFIGURATION, _CONFIGURATION_REGISTER, number, call.body
            )
        except MeshError as error:
            return outcome_unknown_answer(error)
        if Outcome.read(stored.outcome) is Outcome.CONFLICT:
            return _answer_conflict(stored.number)
        log.info("configuration stored", number=number, newest=stored.number)
        return json_answer(200, {wire_names.CONFIG_VERSION: number})

    async def _describe_configuration(self, _call: Call) -> Answer:
        try:
            stored = await self._store_client.ask(
                RegisterCallKind.DESCRIBE, _CONFIGURATION_REGISTER
            )
        except MeshError as error:
            return outcome_unknown_answer(error)
        if not stored.value:
            return json_answer(404, {wire_names.REASON: "no configuration yet"})
        return Answer(200, header_block=b"Content-Type: application/json\r\n", body=stored.value)

    async def _start_evacuation(self, call: Call) -> Answer:
        return await self._set_evacuation(call.subject, EvacuationState.ON)

    async def _stop_evacuation(self, call: Call) -> Answer:
        return await self._set_evacuation(call.subject, EvacuationState.OFF)

    async def _set_evacuation(self, zone: str, state: EvacuationState) -> Answer:
        if zone not in self._zones():
            return json_answer(404, {wire_names.REASON: f"zone: no zone {zone!r}"})
        try:
            number = await write_fenced(
                self._store_client,
                "evacuation/" + zone,
                state,
                lambda: self._evacuation_number(zone),
            )
        except MeshError as error:
            return outcome_unknown_answer(error)
        log.info("evacuation state stored", zone=zone, state=state.name, number=number)
        return json_answer(200, {})


def _answer_conflict(number: int) -> Answer:
    """409: another content is confirmed under this number, so a retry cannot succeed."""
    reason = f"{wire_names.CONFIG_VERSION}: {number} holds with another content"
    log.warning("configuration rejected", number=number, reason=reason)
    return json_answer(409, {wire_names.REASON: reason, wire_names.CONFIG_VERSION: number})
