"""Receives the heartbeats of the local target."""

import json
from datetime import timedelta

from marblefold import wire_names
from marblefold.http_connections.answer import Answer
from marblefold.http_connections.call_router import Call, CallRouter, json_answer
from marblefold.request_path.local_target import Heartbeat, LocalTarget

__all__ = ["HeartbeatCalls", "parse_heartbeat"]

_MAX_HEARTBEAT_BYTES = 4096


def parse_heartbeat(instance: str, body: bytes) -> Heartbeat:
    """Parses a heartbeat.

    Raises ValueError, whose message names the invalid field, OverflowError for numbers
    out of range and RecursionError for deep nesting.
    """
    document = json.loads(body)
    if not isinstance(document, dict):
        raise ValueError("not an object")

    def field(name: str, kind: type | tuple[type, ...], default=None):
        value = document.get(name, default)
        # bool is a subclass of int in Python, but not a number in JSON.
        if not isinstance(value, kind) or isinstance(value, bool):
            raise ValueError(f"{name}: missing or of the wrong kind")
        return value

    state = field(wire_names.STATE, str)
    if state not in (wire_names.READY, wire_names.DRAINING):
        raise ValueError(f"{wire_names.STATE}: {state!r}")
    return Heartbeat(
        instance=instance,
        upstream=field(wire_names.UPSTREAM, str),
        address=field(wire_names.ADDRESS, str),
        zone=field(wire_names.ZONE, str, ""),
        slots=int(field(wire_names.CAPACITY_SLOTS, (int, float))),
        is_draining=state == wire_names.DRAINING,
        cold=timedelta(milliseconds=field(wire_names.COLD_REMAINING_MS, (int, float), 0)),
        number=int(field(wire_names.CALL_SEQUENCE, (int, float))),
    )


class HeartbeatCalls:
    """Handles the calls of the target, from local state."""

    def __init__(self, target: LocalTarget, own_zone: str) -> None:
        self._target = target
        self._own_zone = own_zone

    def add_to(self, router: CallRouter) -> None:
        """Registers the calls with the router."""
        router.add("PUT", wire_names.TARGET_PATH, self._on_heartbeat, _MAX_HEARTBEAT_BYTES)
        router.add("DELETE", wire_names.TARGET_PATH, self._on_deregister, _MAX_HEARTBEAT_BYTES)

    async def _on_heartbeat(self, call: Call) -> Answer:
        try:
            heartbeat = parse_heartbeat(call.subject, call.body)
        except (ValueError, OverflowError, RecursionError) as error:
            return json_answer(400, {wire_names.REASON: str(error)})
        # The guard acts on the heartbeat from here on, so the answer may acknowledge it.
        self._target.apply_heartbeat(heartbeat._replace(zone=heartbeat.zone or self._own_zone))
        return json_answer(200, {})

    async def _on_deregister(self, call: Call) -> Answer:
        self._target.deregister(call.subject)
        return json_answer(200, {})
