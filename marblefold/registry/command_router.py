"""Executes a command only while its caller may still be waiting for the answer.

Clients of operators retry at another node after one second without an answer.  A
command that this registry handles late may already be superseded by a later command
that was acknowledged elsewhere, and must not take effect.  Two bounds ensure that:

- a command that was read after this process stalled may be stale (`StallDetector`);
- a command names the number of the register that it changes, and must have learned
  that number within `COMMAND_MAX_AGE_SECONDS` of being read.  If it is delayed after
  that, the register has a higher number as soon as a later command is acknowledged,
  and a write at the older number has no effect.

A registry without quorum contact may hold outdated state.  The router therefore
replaces its permanent refusals, and reads that are answered from its feed, with a 503.
"""

import time
from collections.abc import Callable
from contextvars import ContextVar
from typing import NamedTuple

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.http_connections.answer import Answer
from marblefold.http_connections.call_router import Call, CallRouter, Serve, json_answer
from marblefold.registry.quorum_contact import QuorumContact
from marblefold.registry.stall_detector import StallDetector

__all__ = ["COMMAND_MAX_AGE_SECONDS", "CommandRouter", "check_command", "remaining_seconds"]

# Together with the longest stall that goes undetected, this stays below the one
# second after which clients retry at another node.
COMMAND_MAX_AGE_SECONDS = 0.5
# Answers are sent within one second of reading the command.
_ANSWER_SECONDS = 0.9
_RETRY_AFTER_SECONDS = 0.2
_READ_METHODS = ("GET", "HEAD")
# Refusals that depend on what this registry knows.
_STATE_DEPENDENT_STATUSES = (400, 404, 409)
# Reads that are answered from the feed instead of a majority of the stores.
_FEED_BACKED_PATHS = (wire_names.OWNERS_PATH,)


class _Command(NamedTuple):
    """A command being served: when it was read, and whether it may be older than that."""

    read_at: float
    may_be_stale: bool
    clock: Callable[[], float]


_current_command: ContextVar[_Command | None] = ContextVar("current command", default=None)


def check_command(is_age_exempt: bool = False) -> None:
    """Raises a MeshError if the command being served must no longer take effect.

    is_age_exempt: the command carries a fencing number of its own, as a configuration
    does, and may take long to validate.  Code that serves no command, such as a
    background task, always passes.
    """
    command = _current_command.get()
    if command is None:
        return
    if command.may_be_stale:
        raise MeshError("order", "read after this process stood still")
    if not is_age_exempt and command.clock() - command.read_at > COMMAND_MAX_AGE_SECONDS:
        raise MeshError("order", "too old to act")


def remaining_seconds(limit: float) -> float:
    """Seconds left to serve the current command, at most `limit`."""
    command = _current_command.get()
    if command is None:
        return limit
    return min(limit, command.read_at + _ANSWER_SECONDS - command.clock())


class CommandRouter(CallRouter):
    """Routes HTTP calls, and applies the age and contact checks to them."""

    def __init__(
        self,
        stall_detector: StallDetector,
        contact: QuorumContact,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._stall_detector = stall_detector
        self._contact = contact
        self._clock = clock

    def add(self, method: str, path: str, serve: Serve, max_body_bytes: int = 4096) -> None:
        """Adds a route; commands, and reads from the feed, are checked."""
        if method not in _READ_METHODS:
            serve = self._check_age_and_contact(serve)
        elif path in _FEED_BACKED_PATHS:
            serve = self._require_contact(serve)
        super().add(method, path, serve, max_body_bytes)

    def _check_age_and_contact(self, serve: Serve) -> Serve:
        async def checked_command(call: Call) -> Answer:
            # The body is complete here, so the age excludes a slow upload.
            token = _current_command.set(
                _Command(self._clock(), self._stall_detector.may_be_stale(), self._clock)
            )
            try:
                return self._replace_refusal(await serve(call))
            finally:
                _current_command.reset(token)

        return checked_command

    def _require_contact(self, serve: Serve) -> Serve:
        async def checked_read(call: Call) -> Answer:
            answer = await serve(call)
            # Checked after serving, so that a pause during the call is noticed.
            return answer if self._contact.is_held else _no_contact_answer()

        return checked_read

    def _replace_refusal(self, answer: Answer) -> Answer:
        if answer.status not in _STATE_DEPENDENT_STATUSES or self._contact.is_held:
            return answer
        return _no_contact_answer()


def _no_contact_answer() -> Answer:
    return json_answer(
        503, {wire_names.REASON: "out of contact with a majority"}, _RETRY_AFTER_SECONDS
    )
