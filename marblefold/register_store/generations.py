"""Lives: each empty disk of a store begins a new one, and lives are ordered.

A life is written as its epoch and a random part.  A store whose disk was lost
chooses an epoch above each one that the members it reads have noted for it, so
the later of two lives of a store can always be determined.
"""

import os
from collections.abc import Iterable

__all__ = [
    "NO_GENERATION",
    "first_generation",
    "is_superseded",
    "later_generation",
    "generation_above",
    "may_succeed",
]

# Older than every life: of a store that nothing is known about.
NO_GENERATION = ""


def first_generation() -> str:
    """The life of a store at the first start of the whole system."""
    return _make(0)


def generation_above(known: Iterable[str]) -> str:
    """A fresh life, later than each of the known ones."""
    return _make(max(0, *(_epoch(life) for life in known)) + 1)


def is_superseded(life: str, known: str) -> bool:
    """Whether the life ended before the known one of the same store began.

    Of two lives of one epoch at most one has ever voted: to vote it must have
    been noted by so many members that the other one is refused by one of them.
    """
    return _epoch(life) < _epoch(known)


def may_succeed(life: str, known: str) -> bool:
    """Whether a store may read under the life where the other one is noted for it."""
    return life == known or _epoch(life) > _epoch(known)


def later_generation(one: str, other: str) -> str:
    """The later of two lives of one store."""
    return other if is_superseded(one, other) else one


def _make(epoch: int) -> str:
    return f"{epoch}-{os.urandom(16).hex()}"


def _epoch(life: str) -> int:
    epoch, sign, _mark = life.partition("-")
    return int(epoch) if sign else -1
