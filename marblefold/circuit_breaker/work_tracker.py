"""Tracks the calls in flight: take a ticket, return it, connection them by age."""

from collections.abc import Iterator
from typing import NamedTuple

__all__ = ["Ticket", "WorkTracker"]


class Ticket(NamedTuple):
    """The mark of one call in flight."""

    number: int
    started: float
    weight: float
    what: str


class WorkTracker:
    """Holds tickets oldest first; each comes out without a search.

    A dict keeps its order of insertion and removes by key in constant time,
    which is the collection that the source of the design misses.
    """

    def __init__(self) -> None:
        self._tickets: dict[int, Ticket] = {}
        self._next_number = 0

    def __len__(self) -> int:
        return len(self._tickets)

    def take(self, now: float, weight: float, what: str) -> Ticket:
        """Starts to track a call."""
        self._next_number += 1
        ticket = Ticket(self._next_number, now, weight, what)
        self._tickets[ticket.number] = ticket
        return ticket

    def give_back(self, ticket: Ticket) -> bool:
        """Ends the tracking of a call; a second return changes nothing."""
        return self._tickets.pop(ticket.number, None) is not None

    def oldest_first(self) -> Iterator[Ticket]:
        """The calls in flight, oldest first."""
        return iter(self._tickets.values())

    def clean(self, now: float, longest: float) -> list[Ticket]:
        """Drops the tickets that nobody can still come to return."""
        forgotten = []
        for ticket in self._tickets.values():
            # The first one young enough ends the look: the rest are younger.
            if now - ticket.started <= longest:
                break
            forgotten.append(ticket)
        for ticket in forgotten:
            self.give_back(ticket)
        return forgotten
