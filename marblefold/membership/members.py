"""The members known to one node, and the updates it still has to pass on."""

import enum
import heapq
import math
from collections.abc import Callable, Iterator
from typing import NamedTuple

__all__ = ["Liveness", "Member", "MemberTable"]

# How often one node passes an update on: at least so many times, and so many
# for each doubling of the number of nodes, as spreading takes longer then.
_PASSED_ON = 6
_PASSED_ON_EACH_DOUBLING = 2


class Liveness(enum.IntEnum):
    """Ordered: of two updates of one incarnation the higher one holds."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


class Member(NamedTuple):
    """One node as described by an update; datagrams go to `address` (HOST:PORT)."""

    address: str
    node: str
    role: str
    zone: str
    generation: int
    incarnation: int
    liveness: Liveness

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Of two updates on one address the one with the higher order holds."""
        return self.generation, self.incarnation, int(self.liveness)


class MemberTable:
    """The members known, and the updates that are still being passed on."""

    def __init__(self, own: Member, on_change: Callable[[Member], None]) -> None:
        self.own = own
        self.changed_at: dict[str, float] = {}
        self._members: dict[str, Member] = {}
        self._updates: dict[str, int] = {own.address: 0}
        self._on_change = on_change

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def __len__(self) -> int:
        return len(self._members)

    @property
    def log2_size(self) -> float:
        """Logarithm to base 2 of the number of nodes: updates spread in so many steps."""
        return math.log2(len(self._members) + 2)

    def find(self, address: str) -> Member | None:
        """The member at the address."""
        return self._members.get(address)

    def merge(self, member: Member, now: float) -> bool:
        """Merges an update; whether it changed anything. `now` in seconds, steady clock."""
        if member.address == self.own.address:
            return self._refute(member)
        held = self._members.get(member.address)
        if held is not None and member.precedence <= held.precedence:
            return False
        # That a node which was never known here is gone changes nothing.
        if held is None and member.liveness is Liveness.GONE:
            return False
        self._members[member.address] = member
        self.changed_at[member.address] = now
        self._updates[member.address] = 0
        if held is None or held.liveness != member.liveness or held.generation != member.generation:
            self._on_change(member)
        return True

    def set_liveness(self, member: Member, liveness: Liveness, now: float) -> None:
        """Records what this node found out about a member by itself."""
        self.merge(member._replace(liveness=liveness), now)

    def remove(self, address: str) -> None:
        """Removes a member that has been gone for long."""
        self._members.pop(address, None)
        self._updates.pop(address, None)
        self.changed_at.pop(address, None)

    def pick_updates(self, most: int) -> list[Member]:
        """At most `most` updates to send, those passed on least often first."""
        addresses = heapq.nsmallest(most, self._updates, key=self._updates.__getitem__)
        passed_on = max(_PASSED_ON, math.ceil(_PASSED_ON_EACH_DOUBLING * self.log2_size))
        picked = []
        for address in addresses:
            member = self.own if address == self.own.address else self._members[address]
            picked.append(member)
            self._updates[address] += 1
            if self._updates[address] >= passed_on:
                del self._updates[address]
        return picked

    def _refute(self, update: Member) -> bool:
        own = self.own
        # An update about this node that outranks its own state is refuted by a higher one.
        if update.precedence <= own.precedence:
            return False
        generation = (
            own.generation if update.generation == own.generation else update.generation + 1
        )
        self.own = own._replace(generation=generation, incarnation=update.incarnation + 1)
        self._updates[own.address] = 0
        return True
