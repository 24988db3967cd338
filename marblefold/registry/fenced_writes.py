"""Writes to a register that are fenced by its number (compare-and-set).

A write names the number that the register had when the command was received.
Stores apply it only at that number, and each write raises the number.  So a write
takes effect at most once, however often and wherever it is sent, and not at all
once a later command was acknowledged.  It is therefore safe to hedge or retry a
write, and harmless if it is delivered late from a buffer.
"""

from collections.abc import Callable

from marblefold.errors import MeshError
from marblefold.register_store.call_kinds import RegisterCallKind
from marblefold.register_store.changes import EvacuationState
from marblefold.register_store.register_client import RegisterClient

__all__ = ["write_fenced"]

_MAX_ATTEMPTS = 3


async def write_fenced(
    client: RegisterClient,
    register: str,
    state: EvacuationState,
    known_number: Callable[[], int | None],
) -> int:
    """Writes the state to the register and returns the register's new number.

    The state is written even if the register holds it already: otherwise this write
    would not fence off an earlier one that is still in flight.
    known_number: returns the register's number if it is known locally, or None to read
    it from the stores.
    Raises a MeshError if it is unclear whether the write took effect.
    """
    number = known_number()
    if number is None:
        number = (await client.ask(RegisterCallKind.DESCRIBE, register)).number
    for _ in range(_MAX_ATTEMPTS):
        answer = await client.ask(RegisterCallKind.EVACUATION, register, number, state.value)
        if answer.value == state.value and answer.number > number:
            return answer.number
        # If another write took the next number, this one had no effect and never will.
        # With a higher number this write may have taken effect and been superseded.
        if answer.number != number + 1:
            raise MeshError("order", f"{register} changed meanwhile")
        number = answer.number
    raise MeshError("order", f"others change {register} all the time")
