"""Generations of a store: a new, later one begins whenever it may have lost its state.

A generation is written as its epoch and a random part. A store that lost its disk
takes an epoch above each one that the members it reads from have recorded for it,
so that any two generations of a store can be ordered.
"""

import os
from collections.abc import Iterable

__all__ = [
    "NO_GENERATION",
    "first_generation",
    "generation_above",
    "is_superseded",
    "later_generation",
    "may_succeed",
]

# Earlier than every generation: for a store of which nothing is known.
NO_GENERATION = ""


def first_generation() -> str:
    """Returns the generation of a store at the first start of the whole system."""
    return _new_generation(0)


def generation_above(known: Iterable[str]) -> str:
    """Returns a new generation, later than each of the known ones."""
    return _new_generation(max(0, *(_epoch(generation) for generation in known)) + 1)


def is_superseded(generation: str, known: str) -> bool:
    """Whether the generation is earlier than the known one of the same store.

    Of two generations of one epoch at most one has ever voted: to vote, it must
    have been recorded by so many members that one of them refuses the other.
    """
    return _epoch(generation) < _epoch(known)


def may_succeed(generation: str, known: str) -> bool:
    """Whether a member that recorded `known` for a store may serve its generation."""
    return generation == known or _epoch(generation) > _epoch(known)


def later_generation(one: str, other: str) -> str:
    """Returns the later of two generations of one store."""
    return other if is_superseded(one, other) else one


def _new_generation(epoch: int) -> str:
    return f"{epoch}-{os.urandom(16).hex()}"


def _epoch(generation: str) -> int:
    epoch, separator, _nonce = generation.partition("-")
    return int(epoch) if separator else -1
