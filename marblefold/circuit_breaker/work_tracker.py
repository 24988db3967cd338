"""Tracks the calls in flight: take a ticket, return it, list them by age."""

from collections.abc import Iterator
from typing import NamedTuple

__all__ = ["Ticket", "WorkTracker"]


class Ticket(NamedTuple):
    """One call in flight; `started` is in seconds on the caller's clock."""

    number: int
    started: float
    weight: float
    what: str


class WorkTracker:
    """Holds tickets oldest first; each comes out without a search.

    A dict keeps its insertion order and removes by key in constant time, so no
    collection of our own is needed.
    """

    def __init__(self) -> None:
        self._tickets: dict[int, Ticket] = {}
        self._next_number = 0

    def __len__(self) -> int:
        return len(self._tickets)

    def take(self, now: float, weight: float, what: str) -> Ticket:
        """Starts to track a call that leaves at `now`, in seconds."""
        self._next_number += 1
        ticket = Ticket(self._next_number, now, weight, what)
        self._tickets[ticket.number] = ticket
        return ticket

    def give_back(self, ticket: Ticket) -> bool:
        """Stops tracking a call. False if it was no longer tracked."""
        return self._tickets.pop(ticket.number, None) is not None

    def oldest_first(self) -> Iterator[Ticket]:
        """The calls in flight, oldest first."""
        return iter(self._tickets.values())

    def clean(self, now: float, longest: float) -> list[Ticket]:
        """Drops and returns the tickets older than `longest` seconds, which nobody will return."""
        forgotten = []
        for ticket in self._tickets.values():
            # Tickets are ordered by age: all that follow are younger.
            if now - ticket.started <= longest:
                break
            forgotten.append(ticket)
        for ticket in forgotten:
            self.give_back(ticket)
        return forgotten
