"""Views: the numbered member lists of the replicated register store."""

import json
from typing import NamedTuple

__all__ = ["View", "first_view", "read_view"]


class View(NamedTuple):
    """A numbered member list; the nonce tells competing views of one number apart."""

    number: int
    nonce: str
    members: tuple[str, ...]

    @property
    def majority(self) -> int:
        """The size of the smallest majority."""
        return len(self.members) // 2 + 1

    @property
    def read_quorum(self) -> int:
        """How many other members a member must read from before it may vote.

        The members read must overlap with every majority, and for a new member
        they must also prove that its view was chosen.
        """
        size = len(self.members)
        others = size - 1
        return min(others, max(size - size // 2, size // 2 + 1))

    def replace_member(self, removed: str, newcomer: str, nonce: str) -> "View":
        """Returns the next view, with one member replaced."""
        members = tuple(newcomer if member == removed else member for member in self.members)
        return View(self.number + 1, nonce, members)

    def add_member(self, newcomer: str, nonce: str) -> "View":
        """Returns the next view, with one more member.

        Any two majorities of the two views overlap, or the majority of the next
        view includes the newcomer, which reads from this view before it votes.
        """
        return View(self.number + 1, nonce, self.members + (newcomer,))

    def pack(self) -> bytes:
        """Returns the view as bytes."""
        return json.dumps([self.number, self.nonce, list(self.members)]).encode()


def read_view(data: bytes) -> View:
    """Returns the view in the bytes."""
    number, nonce, members = json.loads(data)
    return View(number, nonce, tuple(members))


def first_view(seeds: list[str]) -> View:
    """Returns the view of the first start, which every member derives from the same seeds."""
    return View(1, "first", tuple(sorted(seeds)))
