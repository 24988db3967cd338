"""The read-only calls for a snapshot of the system and for a rehearsal from it.

One rehearsal runs at a time, in slices between which the registry does its
other work; a second one is answered 503.
"""

import asyncio
import json
from collections.abc import Callable
from datetime import UTC, datetime
from urllib.parse import parse_qs

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

__all__ = ["RehearsalCalls"]

_MOST_REQUESTS = 8_000
# Seconds between slices, for the registry's other work.
_PAUSE_SECONDS = 0.01
_LONGEST_SECONDS = 20.0
_BUSY_RETRY = 2.0


class RehearsalCalls:
    """Answers from the state of this registry; sends nothing to other nodes."""

    def __init__(self, words, make_parts: Callable[[], dict]) -> None:
        self._words = words
        self._make_parts = make_parts
        self._is_busy = False

    def add_to(self, router: CallRouter) -> None:
        """Adds these calls to the router."""
        router.add("GET", wire_names.SNAPSHOT_PATH, self._snapshot)
        router.add("GET", wire_names.REHEARSAL_PATH, self._rehearse)

    async def _snapshot(self, _call: Call) -> Answer:
        document = await self._take()
        return document if isinstance(document, Answer) else json_answer(200, document)

    async def _rehearse(self, call: Call) -> Answer:
        asked = parse_qs(call.query)
        if self._is_busy:
            return json_answer(503, {wire_names.REASON: "a rehearsal is under way"}, _BUSY_RETRY)
        self._is_busy = True
        try:
            async with asyncio.timeout(_LONGEST_SECONDS):
                return await self._play(
                    asked.get("region", []), asked.get("zone", []), asked.get("clients", ["move"])
                )
        except TimeoutError:
            return json_answer(
                503, {wire_names.REASON: "too much for this registry: use the command"}, _BUSY_RETRY
            )
        finally:
            self._is_busy = False

    async def _play(self, regions: list[str], zones: list[str], clients: list[str]) -> Answer:
        # Imported here, as nothing else in a registry needs them.
        from marblefold.rehearsal.forecast import find_lost, rehearse_slowly
        from marblefold.rehearsal.play_config import PlayConfig
        from marblefold.rehearsal.reporting import to_plain
        from marblefold.rehearsal.snapshot import read_snapshot

        if clients not in (["move"], ["gone"]):
            return json_answer(400, {wire_names.REASON: "clients: move or gone, once"})
        document = await self._take()
        if isinstance(document, Answer):
            return document
        try:
            snapshot = read_snapshot(json.dumps(document).encode())
            lost = find_lost(snapshot, regions, zones)
        except ExceptionGroup as group:
            return invalid_order_answer(group)
        config = PlayConfig(
            warm_seconds=1.5,
            after_seconds=5.0,
            most_requests=_MOST_REQUESTS,
            plays=2,
            clients_move=clients == ["move"],
        )
        steps = rehearse_slowly(snapshot, lost, config)
        while True:
            try:
                next(steps)
            except StopIteration as end:
                return json_answer(200, to_plain(end.value))
            await asyncio.sleep(_PAUSE_SECONDS)

    async def _take(self) -> dict | Answer:
        try:
            word = await self._words.ask("describe", "configuration")
        except MeshError as error:
            return outcome_unknown_answer(error)
        if not word.value:
            return json_answer(404, {wire_names.REASON: "no configuration yet"})
        return {
            "format": "marblefold-snapshot",
            "version": 1,
            "taken-at": datetime.now(UTC).isoformat(),
            "configuration": json.loads(word.value),
            **self._make_parts(),
        }
