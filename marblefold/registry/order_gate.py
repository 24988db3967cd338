"""Lets an order act only while its caller may still be waiting for it.

Operators go on to another node after a second of silence.  So an order that
this registry comes to late may have been overtaken by a later one that was
acknowledged elsewhere, and must not act.  Two bounds keep that:

- what was read after this process stood still is suspect (`StallGuard`);
- an order names the number of the register that it changes, and must have
  learned that number within `ORDER_SECONDS` of being read.  Whatever holds it
  up after that, the register has a higher number as soon as a later order was
  acknowledged, and the change at the older number changes nothing.

The gate also keeps a registry that is out of contact from refusing for good, and
from showing what it received in its feed: what it knows may be behind, so it says 503.
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
from marblefold.registry.stall_guard import StallGuard

__all__ = ["ORDER_SECONDS", "OrderGate", "check_order", "seconds_left"]

# An order read so long ago has a caller that is about to go on: together with
# a stall too short to be noticed this stays below the second of its patience.
ORDER_SECONDS = 0.5
# Answers leave within a second of the reading.
_ANSWER_SECONDS = 0.9
_RETRY_SECONDS = 0.2
_READS = ("GET", "HEAD")
# What may be refused by what this registry happens to know.
_DOUBTFUL = (400, 404, 409)
# Reads that show more than a majority of the stores has just said.
_FROM_THE_FEED = (wire_names.OWNERS_PATH,)


class _Order(NamedTuple):
    """A call that is being served: when it was read, and whether that is sure."""

    read_at: float
    is_suspect: bool
    clock: Callable[[], float]


_current: ContextVar[_Order | None] = ContextVar("current order", default=None)


def check_order(may_be_old: bool = False) -> None:
    """A MeshError if the order being served must not act any more.

    may_be_old: it is fenced by a number of its own, as a configuration is, and may
    take long to check.  What serves no call, like a duty, is not looked at here.
    """
    order = _current.get()
    if order is None:
        return
    if order.is_suspect:
        raise MeshError("order", "read after this process stood still")
    if not may_be_old and order.clock() - order.read_at > ORDER_SECONDS:
        raise MeshError("order", "too old to act")


def seconds_left(most: float) -> float:
    """For how long the call being served may still be worked on, up to most."""
    order = _current.get()
    if order is None:
        return most
    return min(most, order.read_at + _ANSWER_SECONDS - order.clock())


class OrderGate(CallRouter):
    """A router that serves its calls within the bounds."""

    def __init__(
        self,
        guard: StallGuard,
        contact: QuorumContact,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._guard = guard
        self._contact = contact
        self._clock = clock

    def add(self, method: str, path: str, serve: Serve, max_body_bytes: int = 4096) -> None:
        """Serves the method at the path, as any router does; orders pass the gate."""
        if method not in _READS:
            serve = self._gate(serve)
        elif path in _FROM_THE_FEED:
            serve = self._need_contact(serve)
        super().add(method, path, serve, max_body_bytes)

    def _gate(self, serve: Serve) -> Serve:
        async def gated(call: Call) -> Answer:
            # Here the body is whole: what a slow link took is no delay of ours.
            token = _current.set(_Order(self._clock(), self._guard.is_suspect(), self._clock))
            try:
                return self._soften(await serve(call))
            finally:
                _current.reset(token)

        return gated

    def _need_contact(self, serve: Serve) -> Serve:
        async def checked(call: Call) -> Answer:
            answer = await serve(call)
            # Looked at last: a freeze in between must not go unnoticed.
            return answer if self._contact.is_held else _out_of_contact()

        return checked

    def _soften(self, answer: Answer) -> Answer:
        if answer.status not in _DOUBTFUL or self._contact.is_held:
            return answer
        return _out_of_contact()


def _out_of_contact() -> Answer:
    return json_answer(503, {wire_names.REASON: "out of contact with a majority"}, _RETRY_SECONDS)
