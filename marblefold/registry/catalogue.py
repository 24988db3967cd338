"""What this registry knows, entry by entry, as soft state that is sent again."""

import itertools
from collections import deque
from collections.abc import Callable

from marblefold.inner_protocol.messages import kinds

__all__ = ["Catalogue"]

_KEPT_CHANGES = 2000


class Catalogue:
    """The newest entry of every key, and the newest changes with their places."""

    def __init__(self, generation: int) -> None:
        self.generation = generation
        self.revision = 0
        self._entries: dict[tuple[str, str], kinds.Entry] = {}
        self._changes: deque[tuple[int, kinds.Entry]] = deque(maxlen=_KEPT_CHANGES)
        self._listeners: list[Callable[[int, kinds.Entry], None]] = []

    def add_listener(self, listener: Callable[[int, kinds.Entry], None]) -> None:
        """Calls the listener with each change and its revision."""
        self._listeners.append(listener)

    def find(self, kind: str, key: str) -> kinds.Entry | None:
        """The newest entry under the key."""
        return self._entries.get((kind, key))

    def entries(self, kind: str) -> list[kinds.Entry]:
        """All entries of a kind that are not removed."""
        return [
            entry for (of, _key), entry in self._entries.items() if of == kind and not entry.removed
        ]

    def put(self, entry: kinds.Entry) -> bool:
        """Takes in an entry if it is newer than the one held."""
        key = (entry.kind, entry.key)
        held = self._entries.get(key)
        if held is not None and (entry.life, entry.number) <= (held.life, held.number):
            return False
        self._entries[key] = entry
        self.revision += 1
        self._changes.append((self.revision, entry))
        for listener in self._listeners:
            listener(self.revision, entry)
        return True

    def changes_since(self, generation: int, revision: int) -> list[kinds.Entry] | None:
        """The changes behind a revision, or None where only a frame will do."""
        if generation != self.generation or revision > self.revision:
            return None
        if revision == self.revision:
            return []
        if not self._changes or self._changes[0][0] > revision + 1:
            return None
        newest = itertools.islice(reversed(self._changes), self.revision - revision)
        return [entry for _at, entry in newest][::-1]

    def snapshot(self) -> list[kinds.Entry]:
        """Everything that holds."""
        return list(self._entries.values())
