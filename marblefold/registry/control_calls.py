"""The calls of operators, and of targets that come here."""

from collections.abc import Callable
from typing import Protocol

from marblefold import wire_names
from marblefold.configuration.reading import InvalidConfiguration, read_configuration
from marblefold.errors import MeshError
from marblefold.http_connections.answer import Answer
from marblefold.http_connections.call_router import Call, CallRouter, json_answer, not_now_answer
from marblefold.logs import log
from marblefold.registry.fenced_orders import set_fenced

__all__ = ["ControlCalls", "RegisterClient"]

_LARGEST_CONFIGURATION = 64 * 1024 * 1024


class RegisterClient(Protocol):
    """Where the operator's words are kept."""

    async def ask(self, kind: str, register: str, number: int = 0, value: bytes = b""): ...


class ControlCalls:
    """Checks what operators ask and has the stores hold it."""

    def __init__(
        self,
        store_client: RegisterClient,
        zones: Callable[[], set[str]],
        state: Callable[[], dict],
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
        router.add("GET", wire_names.STATE_PATH, self._tell_state)
        router.add("PUT", wire_names.EVACUATION_PATH, self._start_evacuation)
        router.add("DELETE", wire_names.EVACUATION_PATH, self._stop_evacuation)

    async def _tell_state(self, _call: Call) -> Answer:
        return json_answer(200, self._state())

    async def _replace(self, call: Call) -> Answer:
        try:
            configuration = read_configuration(call.body)
        except InvalidConfiguration as invalid:
            log.info("configuration refused", faults=invalid.faults[:5])
            return json_answer(400, {wire_names.REASON: invalid.faults[:50]})
        answer = await self._hold(
            "configuration", "configuration", configuration.config_version, call.body
        )
        if answer is not None:
            return answer
        log.info("configuration held", number=configuration.config_version)
        return json_answer(200, {wire_names.CONFIG_VERSION: configuration.config_version})

    async def _describe(self, _call: Call) -> Answer:
        try:
            record = await self._store_client.ask("describe", "configuration")
        except MeshError as error:
            return not_now_answer(error)
        if not record.value:
            return json_answer(404, {wire_names.REASON: "no configuration yet"})
        return Answer(200, header_block=b"Content-Type: application/json\r\n", body=record.value)

    async def _start_evacuation(self, call: Call) -> Answer:
        return await self._evacuate(call.subject, b"on")

    async def _stop_evacuation(self, call: Call) -> Answer:
        return await self._evacuate(call.subject, b"off")

    async def _evacuate(self, zone: str, value: bytes) -> Answer:
        if zone not in self._zones():
            return json_answer(404, {wire_names.REASON: f"no zone {zone!r}"})
        try:
            number = await set_fenced(
                self._store_client,
                "evacuation/" + zone,
                value,
                lambda: self._evacuation_number(zone),
            )
        except MeshError as error:
            return not_now_answer(error)
        log.info("evacuation held", zone=zone, state=value.decode(), number=number)
        return json_answer(200, {})

    async def _hold(self, kind: str, register: str, number: int, value: bytes) -> Answer | None:
        """None once a majority holds the record, else the answer that says no."""
        try:
            await self._store_client.ask(kind, register, number, value)
        except MeshError as error:
            return not_now_answer(error)
        return None
