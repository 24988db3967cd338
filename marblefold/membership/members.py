"""What one node thinks of the others, and what it still has to pass on."""

import enum
import heapq
import math
from collections.abc import Callable, Iterator
from typing import NamedTuple

__all__ = ["Liveness", "Member", "MemberTable"]

# How often a piece of news is passed on by one node, at the least; with many
# nodes it takes this for each doubling to reach them all.
_PASSED_ON = 6
_PASSED_ON_EACH_DOUBLING = 2


class Liveness(enum.IntEnum):
    """Ordered: of one incarnation the graver word holds."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


class Member(NamedTuple):
    """One node as gossip tells of it; address is where its datagrams go."""

    address: str
    node: str
    role: str
    zone: str
    life: int
    incarnation: int
    liveness: Liveness

    @property
    def order(self) -> tuple[int, int, int]:
        """Of two words on one address the higher holds."""
        return self.life, self.incarnation, int(self.liveness)


class MemberTable:
    """The members known, and the news of them that is still young."""

    def __init__(self, own: Member, on_change: Callable[[Member], None]) -> None:
        self.own = own
        self.since: dict[str, float] = {}
        self._members: dict[str, Member] = {}
        self._news: dict[str, int] = {own.address: 0}
        self._on_change = on_change

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def __len__(self) -> int:
        return len(self._members)

    @property
    def doublings(self) -> float:
        """What the spreading of news grows with."""
        return math.log2(len(self._members) + 2)

    def find(self, address: str) -> Member | None:
        """The member at the address."""
        return self._members.get(address)

    def take(self, member: Member, now: float) -> bool:
        """Takes in a word on a member; tells whether it was news."""
        if member.address == self.own.address:
            return self._refute(member)
        held = self._members.get(member.address)
        if held is not None and member.order <= held.order:
            return False
        # Of a node that we never knew to be there it is no news that it is gone.
        if held is None and member.liveness is Liveness.GONE:
            return False
        self._members[member.address] = member
        self.since[member.address] = now
        self._news[member.address] = 0
        if held is None or held.liveness != member.liveness or held.life != member.life:
            self._on_change(member)
        return True

    def judge(self, member: Member, liveness: Liveness, now: float) -> None:
        """Our own finding on a member."""
        self.take(member._replace(liveness=liveness), now)

    def forget(self, address: str) -> None:
        """Drops a member that is long gone."""
        self._members.pop(address, None)
        self._news.pop(address, None)
        self.since.pop(address, None)

    def pick_news(self, most: int) -> list[Member]:
        """The news passed on least often so far."""
        addresses = heapq.nsmallest(most, self._news, key=self._news.__getitem__)
        passed_on = max(_PASSED_ON, math.ceil(_PASSED_ON_EACH_DOUBLING * self.doublings))
        picked = []
        for address in addresses:
            member = self.own if address == self.own.address else self._members[address]
            picked.append(member)
            self._news[address] += 1
            if self._news[address] >= passed_on:
                del self._news[address]
        return picked

    def _refute(self, word: Member) -> bool:
        own = self.own
        # A word on us that outranks what we say of ourselves must be outbid.
        if word.order <= own.order:
            return False
        life = own.life if word.life == own.life else word.life + 1
        self.own = own._replace(life=life, incarnation=word.incarnation + 1)
        self._news[own.address] = 0
        return True
