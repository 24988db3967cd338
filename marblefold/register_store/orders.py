"""Translates calls of registries into orders: a change and how to determine its outcome."""

from collections.abc import Callable
from typing import NamedTuple

from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.call_kinds import Outcome, RegisterCallKind
from marblefold.register_store.changes import (
    Change,
    RegisterContent,
    evacuate_for_window,
    fence,
    leave_unchanged,
    release_from_window,
    replace_if_number,
    set_configuration,
    set_evacuation,
)

__all__ = ["Order", "read_order"]


class Order(NamedTuple):
    """A change, and the function that derives its outcome from what a majority holds after it."""

    change: Change
    outcome_of: Callable[[RegisterContent], Outcome]


def read_order(call: messages_pb2.RegisterCall) -> Order | None:
    """Returns the order that a call contains, or None for a call of another kind."""
    try:
        kind = RegisterCallKind(call.kind)
    except ValueError:
        return None
    if kind is RegisterCallKind.DESCRIBE:
        return Order(leave_unchanged, lambda _content: Outcome.APPLIED)
    if kind is RegisterCallKind.CONFIGURATION:
        return _order_configuration(call.number, call.value)
    if kind in (RegisterCallKind.MAINTENANCE, RegisterCallKind.REPLACEMENT):
        return _order_replacement(call)
    if kind is RegisterCallKind.EVACUATION:
        return _order_evacuation(call)
    if kind is RegisterCallKind.WINDOW_EMPTY:
        return _order_state(call, evacuate_for_window)
    if kind is RegisterCallKind.WINDOW_RELEASE:
        return _order_state(call, release_from_window)
    return None


def _order_configuration(number: int, body: bytes) -> Order:
    """Sets a configuration; contents are compared as they were sent, byte for byte."""

    def outcome_of(content: RegisterContent) -> Outcome:
        if content.number != number:
            return Outcome.SUPERSEDED
        return Outcome.APPLIED if content.value == body else Outcome.CONFLICT

    return Order(set_configuration(number, body), outcome_of)


def _order_replacement(call: messages_pb2.RegisterCall) -> Order:
    """Replaces a document, provided that it still has the number at which the writer read it."""

    def outcome_of(content: RegisterContent) -> Outcome:
        was_applied = bool(call.order) and call.order in content.orders
        is_current = (content.number, content.value) == (call.number + 1, call.value)
        return Outcome.APPLIED if was_applied or is_current else Outcome.SUPERSEDED

    return Order(
        fence(call.number, call.order, replace_if_number(call.number, call.value)), outcome_of
    )


def _order_evacuation(call: messages_pb2.RegisterCall) -> Order:
    """Sets an evacuation; as with a window, the outcome depends on the current state."""

    def outcome_of(content: RegisterContent) -> Outcome:
        is_later = content.number > call.number
        return Outcome.APPLIED if is_later and content.value == call.value else Outcome.SUPERSEDED

    return Order(fence(call.number, call.order, set_evacuation(call.value)), outcome_of)


def _order_state(call: messages_pb2.RegisterCall, change: Change) -> Order:
    """Changes an evacuation; the outcome depends on the current state.

    An order that took effect and was then reverted by another one is no longer
    acknowledged: a client that measures time from the acknowledgement would
    start from a state that does not hold.
    """

    def outcome_of(content: RegisterContent) -> Outcome:
        return Outcome.APPLIED if change(content) == content else Outcome.SUPERSEDED

    return Order(fence(call.number, call.order, change), outcome_of)
