"""Changes of a register that are fenced by its number.

A change names the number that the register had when it was asked for.  Stores
carry it out only at that number, and each change raises the number.  So it takes
effect at most once, however often and wherever it is sent, and not at all once a
later order was acknowledged: it may be hedged, retried, or lie in a buffer.
"""

from collections.abc import Callable
from typing import Protocol

from marblefold.errors import MeshError
from marblefold.register_store.changes import (
    Change,
    Held,
    empty_for_window,
    release_from_window,
)

__all__ = ["WindowOrders", "change_fenced", "set_fenced"]

_REPLACE = "duty"
_TRIES = 3
_WINDOW_CHANGES: dict[str, Change] = {
    "window-empty": empty_for_window,
    "window-release": release_from_window,
}


class RegisterClient(Protocol):
    """The way to the stores."""

    async def ask(self, kind: str, register: str, number: int = 0, value: bytes = b""): ...


async def set_fenced(
    client: RegisterClient,
    register: str,
    value: bytes,
    known_number: Callable[[], int | None],
) -> int:
    """Has the register hold the value, under a new number; gives that number.

    It is written even where the register holds the value already: otherwise an
    earlier order that is still under way would not be fenced off by this one.
    known_number: the register's number as far as it is known here; None to read it.
    Raises a MeshError where it is unclear whether the order took effect.
    """
    number = known_number()
    if number is None:
        number = (await client.ask("describe", register)).number
    for _ in range(_TRIES):
        answer = await client.ask(_REPLACE, register, number, value)
        if answer.value == value and answer.number > number:
            return answer.number
        # The number behind ours is another's, so ours did not take effect and never
        # will.  Further on it may have, and have been overtaken since.
        if answer.number != number + 1:
            raise MeshError("order", f"{register} changed meanwhile")
        number = answer.number
    raise MeshError("order", f"others change {register} all the time")


async def change_fenced(client: RegisterClient, register: str, change: Change) -> Held:
    """Reads the register and changes it, unless somebody else did in between.

    Raises a MeshError where somebody did, or no majority answered.
    """
    answer = await client.ask("describe", register)
    held = Held(answer.number, answer.value)
    wanted = change(held)
    if wanted == held:
        return held
    answer = await client.ask(_REPLACE, register, held.number, wanted.value)
    if answer.value != wanted.value:
        raise MeshError("order", f"{register} changed meanwhile")
    return Held(answer.number, answer.value)


class WindowOrders:
    """The stores as the maintenance duty sees them: what it empties is fenced."""

    def __init__(self, client: RegisterClient) -> None:
        self._client = client

    async def ask(self, kind: str, register: str, number: int = 0, value: bytes = b""):
        """As `StoreClient.ask`; changes for windows go by the register's number."""
        change = _WINDOW_CHANGES.get(kind)
        if change is None:
            return await self._client.ask(kind, register, number, value)
        return await change_fenced(self._client, register, change)
