"""Changes that orders make to a register, as pure functions of its content."""

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
    "leave_unchanged",
    "release_from_window",
    "replace_if_number",
    "set_configuration",
    "set_evacuation",
]

# A registry repeats an order only until its own timeout, and at most eight
# orders are in progress at once.
_MAX_RECENT_ORDERS = 8


class EvacuationState(enum.Enum):
    """The values of the register of a zone's evacuation."""

    ON = b"on"
    OFF = b"off"
    # Evacuated for a maintenance window, not by an order of an operator.
    WINDOW = b"window"

    @classmethod
    def read(cls, value: bytes) -> "EvacuationState":
        """Decodes a register's value; an empty value means never set, which counts as OFF."""
        return cls(value) if value else cls.OFF


class RegisterContent(NamedTuple):
    """A register's number and value, and the orders that changed it last."""

    number: int
    value: bytes
    # Ids of the last orders that changed the register, oldest first.
    orders: tuple[bytes, ...] = ()


# A change returns its argument if it changes nothing.
Change = Callable[[RegisterContent], RegisterContent]


def leave_unchanged(content: RegisterContent) -> RegisterContent:
    """Changes nothing; used to read what a majority holds."""
    return content


def set_configuration(number: int, body: bytes) -> Change:
    """Sets a configuration; the highest number wins, with the content chosen first under it."""
    return lambda content: (
        RegisterContent(number, body) if not content.value or number > content.number else content
    )


def set_evacuation(value: bytes) -> Change:
    """Starts or stops an evacuation; raises the number even if the value stays the same.

    Otherwise this order would not fence off an earlier one that is still in
    progress.  Not idempotent by itself: orders apply it through `fence`.
    """
    return lambda content: RegisterContent(content.number + 1, value)


def evacuate_for_window(content: RegisterContent) -> RegisterContent:
    """Evacuates a zone for a maintenance window, unless it is already evacuated."""
    if EvacuationState.read(content.value) is not EvacuationState.OFF:
        return content
    return RegisterContent(content.number + 1, EvacuationState.WINDOW.value)


def release_from_window(content: RegisterContent) -> RegisterContent:
    """Ends the evacuation of a maintenance window, but not one that an operator started."""
    if EvacuationState.read(content.value) is not EvacuationState.WINDOW:
        return content
    return RegisterContent(content.number + 1, EvacuationState.OFF.value)


def replace_if_number(number: int, value: bytes) -> Change:
    """Replaces the value if the register still has the number at which it was read."""
    return lambda content: (
        RegisterContent(number + 1, value) if content.number == number else content
    )


def fence(base: int, order: bytes, change: Change) -> Change:
    """Applies the change at most once: only at the number that the caller had read.

    Numbers only rise, and every change raises the number.  Once this order, or
    any other one, has changed the register, no later attempt of it has an
    effect, at any store.  The stored id shows later attempts of the same order
    that it took effect.
    """

    def fenced(content: RegisterContent) -> RegisterContent:
        if content.number != base or (order and order in content.orders):
            return content
        after = change(content)
        if after == content:
            return content
        orders = (*content.orders, order) if order else content.orders
        return after._replace(orders=orders[-_MAX_RECENT_ORDERS:])

    return fenced


def change_view(base: View, following: View) -> Change:
    """Replaces the view if it is still the one that the replacement was made for."""

    def change(content: RegisterContent) -> RegisterContent:
        current = read_view(content.value) if content.value else base
        return RegisterContent(following.number, following.pack()) if current == base else content

    return change
