"""The calls of operators, and of targets that come here."""

from typing import Callable, Protocol

from marblefold import wire_names
from marblefold.breakdowns import Breakdown
from marblefold.http_streams.answer import Answer
from marblefold.http_streams.call_router import (
    Call, CallRouter, json_answer, not_now_answer)
from marblefold.logs import log
from marblefold.operator_spec.reading import InvalidSpec, read_spec

__all__ = ["ControlCalls", "Words"]

_LARGEST_SPEC = 64 * 1024 * 1024


class Words(Protocol):
    """Where the operator's words are kept."""

    async def ask(self, kind: str, register: str, number: int = 0, value: bytes = b""): ...


class ControlCalls:
    """Checks what operators ask and has the stores hold it."""

    def __init__(
        self, words: Words, zones: Callable[[], set[str]], state: Callable[[], dict],
    ) -> None:
        self._words = words
        self._zones = zones
        self._state = state

    def add_to(self, router: CallRouter) -> None:
        """Serves these calls at the router."""
        router.add("PUT", wire_names.SPEC_PATH, self._replace, _LARGEST_SPEC)
        router.add("GET", wire_names.SPEC_PATH, self._describe)
        router.add("GET", wire_names.STATE_PATH, self._tell_state)
        router.add("PUT", wire_names.EVACUATION_PATH, self._start_evacuation)
        router.add("DELETE", wire_names.EVACUATION_PATH, self._stop_evacuation)

    async def _tell_state(self, _call: Call) -> Answer:
        return json_answer(200, self._state())

    async def _replace(self, call: Call) -> Answer:
        try:
            spec = read_spec(call.body)
        except InvalidSpec as invalid:
            log.info("spec refused", faults=invalid.faults[:5])
            return json_answer(400, {wire_names.REASON: invalid.faults[:50]})
        answer = await self._hold("spec", "spec", spec.spec_number, call.body)
        if answer is not None:
            return answer
        log.info("spec held", number=spec.spec_number)
        return json_answer(200, {wire_names.SPEC_NUMBER: spec.spec_number})

    async def _describe(self, _call: Call) -> Answer:
        try:
            word = await self._words.ask("describe", "spec")
        except Breakdown as breakdown:
            return not_now_answer(breakdown)
        if not word.value:
            return json_answer(404, {wire_names.REASON: "no spec yet"})
        return Answer(200, header_block=b"Content-Type: application/json\r\n", body=word.value)

    async def _start_evacuation(self, call: Call) -> Answer:
        return await self._evacuate(call.subject, b"on")

    async def _stop_evacuation(self, call: Call) -> Answer:
        return await self._evacuate(call.subject, b"off")

    async def _evacuate(self, zone: str, value: bytes) -> Answer:
        if zone not in self._zones():
            return json_answer(404, {wire_names.REASON: f"no zone {zone!r}"})
        answer = await self._hold("evacuation", "evacuation/" + zone, 0, value)
        if answer is not None:
            return answer
        log.info("evacuation held", zone=zone, state=value.decode())
        return json_answer(200, {})

    async def _hold(self, kind: str, register: str, number: int, value: bytes) -> Answer | None:
        """None once a majority holds the word, else the answer that says no."""
        try:
            await self._words.ask(kind, register, number, value)
        except Breakdown as breakdown:
            return not_now_answer(breakdown)
        return None
