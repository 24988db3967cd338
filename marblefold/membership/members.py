"""The members known to one node, and the updates that it still disseminates."""

import enum
import heapq
import math
from collections.abc import Callable, Iterator
from typing import NamedTuple

__all__ = ["Liveness", "Member", "MemberTable"]

# Number of times that a node sends an update: a minimum, and a factor of the binary
# logarithm of the cluster size, as an update needs more rounds to reach more nodes.
_MIN_TRANSMISSIONS = 6
_TRANSMISSIONS_PER_DOUBLING = 2


class Liveness(enum.IntEnum):
    """Ordered: of two updates with the same incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


class Member(NamedTuple):
    """The state of a node as given by an update; datagrams go to `address` (HOST:PORT).

    generation: start time of the process in milliseconds, or higher after a refutation.
    """

    address: str
    node: str
    role: str
    zone: str
    generation: int
    incarnation: int
    liveness: Liveness

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Of two updates on the same address the one with the higher precedence wins."""
        return self.generation, self.incarnation, int(self.liveness)


class MemberTable:
    """The known members, and the updates that are still being disseminated.

    `changed_at` gives the time of the last update of each member, by address.
    """

    def __init__(self, own: Member, on_change: Callable[[Member], None]) -> None:
        self.own = own
        self.changed_at: dict[str, float] = {}
        self._members: dict[str, Member] = {}
        self._transmissions: dict[str, int] = {own.address: 0}
        self._on_change = on_change

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def __len__(self) -> int:
        return len(self._members)

    @property
    def log2_size(self) -> float:
        """Logarithm to base 2 of the number of nodes: the rounds an update takes to spread."""
        return math.log2(len(self._members) + 2)

    def find(self, address: str) -> Member | None:
        """Returns the member at the address, or None."""
        return self._members.get(address)

    def merge(self, member: Member, now: float) -> bool:
        """Merges an update; returns whether it changed anything.

        now: seconds on a monotonic clock.
        """
        if member.address == self.own.address:
            return self._refute(member)
        known = self._members.get(member.address)
        if known is not None and member.precedence <= known.precedence:
            return False
        # The removal of a node that was never known here needs no entry.
        if known is None and member.liveness is Liveness.GONE:
            return False
        self._members[member.address] = member
        self.changed_at[member.address] = now
        self._transmissions[member.address] = 0
        if (
            known is None
            or known.liveness != member.liveness
            or known.generation != member.generation
        ):
            self._on_change(member)
        return True

    def set_liveness(self, member: Member, liveness: Liveness, now: float) -> None:
        """Records the liveness of a member as this node observed it."""
        self.merge(member._replace(liveness=liveness), now)

    def remove(self, address: str) -> None:
        """Removes a member and its pending updates."""
        self._members.pop(address, None)
        self._transmissions.pop(address, None)
        self.changed_at.pop(address, None)

    def pick_updates(self, limit: int) -> list[Member]:
        """Returns up to `limit` updates to send, the least often sent ones first."""
        addresses = heapq.nsmallest(limit, self._transmissions, key=self._transmissions.__getitem__)
        max_transmissions = max(
            _MIN_TRANSMISSIONS, math.ceil(_TRANSMISSIONS_PER_DOUBLING * self.log2_size)
        )
        picked = []
        for address in addresses:
            member = self.own if address == self.own.address else self._members[address]
            picked.append(member)
            self._transmissions[address] += 1
            if self._transmissions[address] >= max_transmissions:
                del self._transmissions[address]
        return picked

    def _refute(self, update: Member) -> bool:
        own = self.own
        # Refutes an update about this node that takes precedence over its own state.
        if update.precedence <= own.precedence:
            return False
        generation = (
            own.generation if update.generation == own.generation else update.generation + 1
        )
        self.own = own._replace(generation=generation, incarnation=update.incarnation + 1)
        self._transmissions[own.address] = 0
        return True
