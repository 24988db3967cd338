"""The read-only calls that return a snapshot of the system and rehearse a loss from it.

One rehearsal runs at a time; a second one is answered 503. It runs in slices,
between which the registry does its other work.
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

_MAX_REQUESTS = 8_000
# The pause after each slice, for the other work of the registry.
_PAUSE_SECONDS = 0.01
_TIMEOUT_SECONDS = 20.0
_RETRY_AFTER_SECONDS = 2.0


class RehearsalCalls:
    """Answers from the state of this registry and the stored configuration; changes nothing."""

    def __init__(self, store_client, describe_parts: Callable[[], dict]) -> None:
        self._store_client = store_client
        self._describe_parts = describe_parts
        self._is_busy = False

    def add_to(self, router: CallRouter) -> None:
        """Adds these calls to the router."""
        router.add("GET", wire_names.SNAPSHOT_PATH, self._snapshot)
        router.add("GET", wire_names.REHEARSAL_PATH, self._rehearse)

    async def _snapshot(self, _call: Call) -> Answer:
        document = await self._take_snapshot()
        return document if isinstance(document, Answer) else json_answer(200, document)

    async def _rehearse(self, call: Call) -> Answer:
        parameters = parse_qs(call.query)
        if self._is_busy:
            return json_answer(
                503, {wire_names.REASON: "a rehearsal is under way"}, _RETRY_AFTER_SECONDS
            )
        self._is_busy = True
        try:
            async with asyncio.timeout(_TIMEOUT_SECONDS):
                return await self._simulate(
                    parameters.get("region", []),
                    parameters.get("zone", []),
                    parameters.get("clients", ["move"]),
                )
        except TimeoutError:
            return json_answer(
                503,
                {wire_names.REASON: "too much for this registry: use the command"},
                _RETRY_AFTER_SECONDS,
            )
        finally:
            self._is_busy = False

    async def _simulate(self, regions: list[str], zones: list[str], clients: list[str]) -> Answer:
        # Imported on use, as nothing else in a registry needs these modules.
        from marblefold.rehearsal.forecast import find_lost_zones, rehearse_in_slices
        from marblefold.rehearsal.reporting import to_json_object
        from marblefold.rehearsal.simulation_config import SimulationConfig
        from marblefold.rehearsal.snapshot import read_snapshot

        if clients not in (["move"], ["gone"]):
            return json_answer(400, {wire_names.REASON: "clients: move or gone, once"})
        document = await self._take_snapshot()
        if isinstance(document, Answer):
            return document
        try:
            snapshot = read_snapshot(json.dumps(document).encode())
            lost = find_lost_zones(snapshot, regions, zones)
        except ExceptionGroup as group:
            return invalid_order_answer(group)
        config = SimulationConfig(
            before_loss_seconds=1.5,
            after_loss_seconds=5.0,
            max_requests=_MAX_REQUESTS,
            runs=2,
            clients_move=clients == ["move"],
        )
        slices = rehearse_in_slices(snapshot, lost, config)
        while True:
            try:
                next(slices)
            except StopIteration as end:
                return json_answer(200, to_json_object(end.value))
            await asyncio.sleep(_PAUSE_SECONDS)

    async def _take_snapshot(self) -> dict | Answer:
        try:
            stored = await self._store_client.ask("describe", "configuration")
        except MeshError as error:
            return outcome_unknown_answer(error)
        if not stored.value:
            return json_answer(404, {wire_names.REASON: "no configuration yet"})
        return {
            "format": "marblefold-snapshot",
            "version": 1,
            "taken-at": datetime.now(UTC).isoformat(),
            "configuration": json.loads(stored.value),
            **self._describe_parts(),
        }
