"""Reads the calls of registries as orders: what each does, and what came of it."""

from collections.abc import Callable
from typing import NamedTuple

from marblefold.inner_protocol.messages import kinds
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
    """A change, and the judgement on what a majority holds after it."""

    change: Change
    outcome_of: Callable[[RegisterContent], Outcome]


def read_order(call: kinds.RegisterCall) -> Order | None:
    """The order in a call; None if it is none."""
    try:
        kind = RegisterCallKind(call.kind)
    except ValueError:
        return None
    if kind is RegisterCallKind.DESCRIBE:
        return Order(leave_unchanged, lambda _held: Outcome.APPLIED)
    if kind is RegisterCallKind.CONFIGURATION:
        return _order_configuration(call.number, call.value)
    if kind in (RegisterCallKind.MAINTENANCE, RegisterCallKind.DUTY):
        return _order_replacement(call)
    if kind is RegisterCallKind.EVACUATION:
        return _order_evacuation(call)
    if kind is RegisterCallKind.WINDOW_EMPTY:
        return _order_state(call, evacuate_for_window)
    if kind is RegisterCallKind.WINDOW_RELEASE:
        return _order_state(call, release_from_window)
    return None


def _order_configuration(number: int, body: bytes) -> Order:
    """Contents are compared as they were sent, byte for byte."""

    def outcome_of(held: RegisterContent) -> Outcome:
        if held.number != number:
            return Outcome.SUPERSEDED
        return Outcome.APPLIED if held.value == body else Outcome.CONFLICT

    return Order(set_configuration(number, body), outcome_of)


def _order_replacement(call: kinds.RegisterCall) -> Order:
    """A document goes on from the number at which its writer read it."""

    def outcome_of(held: RegisterContent) -> Outcome:
        is_known = bool(call.order) and call.order in held.orders
        is_ours = (held.number, held.value) == (call.number + 1, call.value)
        return Outcome.APPLIED if is_known or is_ours else Outcome.SUPERSEDED

    return Order(
        fence(call.number, call.order, replace_if_number(call.number, call.value)), outcome_of
    )


def _order_evacuation(call: kinds.RegisterCall) -> Order:
    """An evacuation is answered by what holds now, as that of a window is."""

    def outcome_of(held: RegisterContent) -> Outcome:
        is_behind = held.number > call.number
        return Outcome.APPLIED if is_behind and held.value == call.value else Outcome.SUPERSEDED

    return Order(fence(call.number, call.order, set_evacuation(call.value)), outcome_of)


def _order_state(call: kinds.RegisterCall, change: Change) -> Order:
    """An evacuation is answered by what holds now.

    One that was taken and then taken back by another order is not acknowledged
    any more: whoever counted from that answer on would count wrongly.
    """

    def outcome_of(held: RegisterContent) -> Outcome:
        return Outcome.APPLIED if change(held) == held else Outcome.SUPERSEDED

    return Order(fence(call.number, call.order, change), outcome_of)
