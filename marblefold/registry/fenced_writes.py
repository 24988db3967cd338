"""Changes of a register that are fenced by its number.

A change names the number that the register had when it was asked for.  Stores
carry it out only at that number, and each change raises the number.  So it takes
effect at most once, however often and wherever it is sent, and not at all once a
later order was acknowledged: it may be hedged, retried, or lie in a buffer.
"""

from collections.abc import Callable

from marblefold.errors import MeshError
from marblefold.register_store.call_kinds import RegisterCallKind
from marblefold.register_store.changes import EvacuationState
from marblefold.register_store.register_client import RegisterClient

__all__ = ["write_fenced"]

_TRIES = 3


async def write_fenced(
    client: RegisterClient,
    register: str,
    state: EvacuationState,
    known_number: Callable[[], int | None],
) -> int:
    """Has the register hold the state, under a new number; gives that number.

    It is written even where the register holds the value already: otherwise an
    earlier order that is still under way would not be fenced off by this one.
    known_number: the register's number as far as it is known here; None to read it.
    Raises a MeshError where it is unclear whether the order took effect.
    """
    number = known_number()
    if number is None:
        number = (await client.ask(RegisterCallKind.DESCRIBE, register)).number
    for _ in range(_TRIES):
        answer = await client.ask(RegisterCallKind.EVACUATION, register, number, state.value)
        if answer.value == state.value and answer.number > number:
            return answer.number
        # The number behind ours is another's, so ours did not take effect and never
        # will.  Further on it may have, and have been overtaken since.
        if answer.number != number + 1:
            raise MeshError("order", f"{register} changed meanwhile")
        number = answer.number
    raise MeshError("order", f"others change {register} all the time")
