"""What orders do to a register: pure functions of what it holds."""

import enum
from collections.abc import Callable
from typing import NamedTuple

from marblefold.register_store.view import View, read_view

__all__ = [
    "Change",
    "EvacuationState",
    "RegisterContent",
    "change_view",
    "evacuate_for_window",
    "fence",
    "set_configuration",
    "set_evacuation",
    "leave_unchanged",
    "release_from_window",
    "replace_if_number",
]

# An order is asked about again only for as long as its registry tries, and no
# more than eight orders are under way at once.
_ORDERS_KEPT = 8


class EvacuationState(enum.Enum):
    """What the register of a zone's evacuation holds, once it was ever set."""

    ON = b"on"
    OFF = b"off"
    # Evacuated for a maintenance window, by no order of an operator.
    WINDOW = b"window"

    @classmethod
    def read(cls, value: bytes) -> "EvacuationState":
        """The state in a register's value; nothing means that it was never set."""
        return cls(value) if value else cls.OFF


class RegisterContent(NamedTuple):
    """What a register holds: its number, its value, and who made it so."""

    number: int
    value: bytes
    # The ids of the last orders that changed it, oldest first.
    orders: tuple[bytes, ...] = ()


# A change gives the very value it was given where it changes nothing.
Change = Callable[[RegisterContent], RegisterContent]


def leave_unchanged(held: RegisterContent) -> RegisterContent:
    """Changes nothing; it finds out what a majority holds."""
    return held


def set_configuration(number: int, body: bytes) -> Change:
    """The highest number holds, with the content that was chosen first under it."""
    return lambda held: (
        RegisterContent(number, body) if not held.value or number > held.number else held
    )


def set_evacuation(value: bytes) -> Change:
    """Starts or stops an evacuation, under a new number even where it holds already.

    Otherwise an earlier order that is still under way would not be fenced off by
    this one.  On its own not idempotent: orders come through `fence`.
    """
    return lambda held: RegisterContent(held.number + 1, value)


def evacuate_for_window(held: RegisterContent) -> RegisterContent:
    """Evacuates a zone for a maintenance window, unless an operator did."""
    if EvacuationState.read(held.value) is not EvacuationState.OFF:
        return held
    return RegisterContent(held.number + 1, EvacuationState.WINDOW.value)


def release_from_window(held: RegisterContent) -> RegisterContent:
    """Takes back what a window evacuated, never what an operator did."""
    if EvacuationState.read(held.value) is not EvacuationState.WINDOW:
        return held
    return RegisterContent(held.number + 1, EvacuationState.OFF.value)


def replace_if_number(number: int, value: bytes) -> Change:
    """Replaces the value if nobody else did since it was read."""
    return lambda held: RegisterContent(number + 1, value) if held.number == number else held


def fence(base: int, order: bytes, change: Change) -> Change:
    """The change, at most once: only at the number that its caller had read.

    Numbers only rise, and every change raises the number; so once the order, or
    any other one, has changed the register, no later try of it does anything,
    at whatever store.  The id left behind shows its own later tries that it
    was taken.
    """

    def fenced(held: RegisterContent) -> RegisterContent:
        if held.number != base or (order and order in held.orders):
            return held
        after = change(held)
        if after == held:
            return held
        orders = (*held.orders, order) if order else held.orders
        return after._replace(orders=orders[-_ORDERS_KEPT:])

    return fenced


def change_view(base: View, following: View) -> Change:
    """Swaps a member if the view is still the one that the swap was made for."""

    def change(held: RegisterContent) -> RegisterContent:
        now = read_view(held.value) if held.value else base
        return RegisterContent(following.number, following.pack()) if now == base else held

    return change
