"""The registry's service catalogue: soft state, kept as one entry per key."""

import itertools
from collections import deque
from collections.abc import Callable

from marblefold.inner_protocol.messages import messages_pb2

__all__ = ["Catalogue"]

_MAX_RETAINED_CHANGES = 2000


class Catalogue:
    """The newest entry of every key, and the latest changes with their revisions."""

    def __init__(self, generation: int) -> None:
        self.generation = generation
        self.revision = 0
        self._entries: dict[tuple[str, str], messages_pb2.Entry] = {}
        self._changes: deque[tuple[int, messages_pb2.Entry]] = deque(maxlen=_MAX_RETAINED_CHANGES)
        self._listeners: list[Callable[[int, messages_pb2.Entry], None]] = []

    def add_listener(self, listener: Callable[[int, messages_pb2.Entry], None]) -> None:
        """Calls the listener with the revision and the entry of each change."""
        self._listeners.append(listener)

    def find(self, kind: str, key: str) -> messages_pb2.Entry | None:
        """Returns the newest entry of the key; it may be marked as removed."""
        return self._entries.get((kind, key))

    def entries(self, kind: str) -> list[messages_pb2.Entry]:
        """Returns all entries of a kind that are not removed."""
        return [
            entry
            for (entry_kind, _key), entry in self._entries.items()
            if entry_kind == kind and not entry.removed
        ]

    def put(self, entry: messages_pb2.Entry) -> bool:
        """Stores an entry if it is newer than the current one; returns whether it was.

        Entries of a key are ordered by generation, then by number.
        """
        key = (entry.kind, entry.key)
        current = self._entries.get(key)
        if current is not None and (entry.life, entry.number) <= (current.life, current.number):
            return False
        self._entries[key] = entry
        self.revision += 1
        self._changes.append((self.revision, entry))
        for listener in self._listeners:
            listener(self.revision, entry)
        return True

    def changes_since(self, generation: int, revision: int) -> list[messages_pb2.Entry] | None:
        """Returns the changes after a revision, or None if a snapshot is required.

        A snapshot is required if the revision belongs to another generation, does not
        exist, or is followed by changes that are no longer retained.
        """
        if generation != self.generation or revision > self.revision:
            return None
        if revision == self.revision:
            return []
        if not self._changes or self._changes[0][0] > revision + 1:
            return None
        newest = itertools.islice(reversed(self._changes), self.revision - revision)
        return [entry for _revision, entry in newest][::-1]

    def snapshot(self) -> list[messages_pb2.Entry]:
        """Returns the newest entry of every key, removed ones included."""
        return list(self._entries.values())
