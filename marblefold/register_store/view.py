"""The view: which stores hold the operator's records together."""

import json
from typing import NamedTuple

__all__ = ["View", "first_view", "read_view"]


class View(NamedTuple):
    """A numbered set of members; the nonce distinguishes views of one number."""

    number: int
    nonce: str
    members: tuple[str, ...]

    @property
    def majority(self) -> int:
        """How many members are more than half."""
        return len(self.members) // 2 + 1

    @property
    def read_quorum(self) -> int:
        """How many others a member must read before it may vote.

        Whatever a majority holds must meet what is read, and a newcomer's
        reading must also show that its view was chosen.
        """
        size = len(self.members)
        others = size - 1
        return min(others, max(size - size // 2, size // 2 + 1))

    def replace_member(self, gone: str, newcomer: str, nonce: str) -> "View":
        """The next view, with one member swapped."""
        members = tuple(newcomer if member == gone else member for member in self.members)
        return View(self.number + 1, nonce, members)

    def add_member(self, newcomer: str, nonce: str) -> "View":
        """The next view, with one member more.

        Any majority of it meets any majority of this one, or the newcomer,
        who read before it voted.
        """
        return View(self.number + 1, nonce, self.members + (newcomer,))

    def pack(self) -> bytes:
        """The view as bytes."""
        return json.dumps([self.number, self.nonce, list(self.members)]).encode()


def read_view(data: bytes) -> View:
    """The view in the bytes."""
    number, nonce, members = json.loads(data)
    return View(number, nonce, tuple(members))


def first_view(seeds: list[str]) -> View:
    """The view of a first start: all members make the same one."""
    return View(1, "first", tuple(sorted(seeds)))
