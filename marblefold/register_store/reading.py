"""What a store takes over from the members it reads: pure functions."""

from collections.abc import Iterable

from marblefold.inner_protocol.messages import kinds
from marblefold.register_store.ballots import NOTHING, Holding, read_holding
from marblefold.register_store.lives import NO_LIFE, later_life

__all__ = ["find_unproven", "merge_holdings", "merge_lives"]


def merge_holdings(own: dict[str, Holding], answers: Iterable[kinds.StoreAnswer]) -> None:
    """Keeps the newest value of each register and the highest promise."""
    for answer in answers:
        for message in answer.accepted:
            other = read_holding(message)
            held = own.get(message.register, NOTHING)
            newer = other if other.ballot > held.ballot else held
            own[message.register] = newer._replace(promised=max(held.promised, other.promised))


def merge_lives(own: dict[str, str], answers: Iterable[kinds.StoreAnswer]) -> None:
    """Keeps the latest life of each store."""
    for answer in answers:
        for member, life in answer.lives.items():
            own[member] = later_life(life, own.get(member, NO_LIFE))


def find_unproven(holdings: dict[str, Holding]) -> set[str]:
    """The registers whose value was copied although a higher ballot was promised.

    Whoever got that promise may not have seen the value: such a copy is no
    proof that a majority accepted the value under its ballot.
    """
    return {register for register, holding in holdings.items() if holding.promised > holding.ballot}
