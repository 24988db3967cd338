"""Tracks the calls in flight in order of their age."""

from collections.abc import Iterator
from typing import NamedTuple

__all__ = ["Permit", "InFlightTracker"]


class Permit(NamedTuple):
    """One call in flight; `started` is in seconds on the caller's clock."""

    number: int
    started: float
    latency_target: float
    label: str


class InFlightTracker:
    """Keeps the permits of calls in flight, oldest first.

    A dict keeps its insertion order and removes by key in constant time, so no
    custom collection is needed.
    """

    def __init__(self) -> None:
        self._permits: dict[int, Permit] = {}
        self._next_number = 0

    def __len__(self) -> int:
        return len(self._permits)

    def acquire(self, now: float, latency_target: float, label: str) -> Permit:
        """Starts to track a call sent at `now`, in seconds."""
        self._next_number += 1
        permit = Permit(self._next_number, now, latency_target, label)
        self._permits[permit.number] = permit
        return permit

    def release(self, permit: Permit) -> bool:
        """Stops tracking a call; returns False if it was no longer tracked."""
        return self._permits.pop(permit.number, None) is not None

    def oldest_first(self) -> Iterator[Permit]:
        """Iterates over the calls in flight, oldest first."""
        return iter(self._permits.values())

    def expire(self, now: float, max_seconds: float) -> list[Permit]:
        """Drops and returns permits older than `max_seconds`; their holders never released them."""
        expired = []
        for permit in self._permits.values():
            # Permits are ordered by age: all that follow are younger.
            if now - permit.started <= max_seconds:
                break
            expired.append(permit)
        for permit in expired:
            self.release(permit)
        return expired
