"""What the operator's words do to a register: pure functions of what it holds."""

from collections.abc import Callable
from typing import NamedTuple

from marblefold.register_store.view import View, read_view

__all__ = [
    "Change",
    "Held",
    "change_view",
    "empty_for_window",
    "hold_evacuation",
    "hold_configuration",
    "keep",
    "release_from_window",
    "replace_at",
]


class Held(NamedTuple):
    """The number and value of a register."""

    number: int
    value: bytes


# A change gives the very value it was given where it changes nothing.
Change = Callable[[Held], Held]


def keep(held: Held) -> Held:
    """Changes nothing; it finds out what a majority holds."""
    return held


def hold_configuration(number: int, body: bytes) -> Change:
    """The highest number holds."""
    return lambda held: Held(number, body) if not held.value or number > held.number else held


def hold_evacuation(value: bytes) -> Change:
    """Starts and stops follow each other; a repeat of one changes nothing."""

    def change(held: Held) -> Held:
        # What was never evacuated need not be taken back.
        if held.value == value or (not held.value and value == b"off"):
            return held
        return Held(held.number + 1, value)

    return change


def empty_for_window(held: Held) -> Held:
    """Evacuates a zone for a maintenance window, unless an operator did."""
    if held.value in (b"on", b"window"):
        return held
    return Held(held.number + 1, b"window")


def release_from_window(held: Held) -> Held:
    """Takes back what a window evacuated, never what an operator did."""
    return Held(held.number + 1, b"off") if held.value == b"window" else held


def replace_at(number: int, value: bytes) -> Change:
    """Replaces the value if nobody else did since it was read."""
    return lambda held: Held(number + 1, value) if held.number == number else held


def change_view(base: View, following: View) -> Change:
    """Swaps a member if the view is still the one that the swap was made for."""

    def change(held: Held) -> Held:
        now = read_view(held.value) if held.value else base
        return Held(following.number, following.pack()) if now == base else held

    return change
