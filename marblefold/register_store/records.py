"""Durable storage of a store's records, and tracking of writes with an uncertain result."""

from typing import Protocol

from marblefold.errors import DiskError

__all__ = ["Records", "UncertainRecords"]


class Records(Protocol):
    """Durable storage of records by name; both methods raise DiskError when the disk fails."""

    def load(self) -> dict[str, bytes]: ...

    def write(self, name: str, data: bytes) -> None: ...


class UncertainRecords:
    """Writes records, and tracks the names of those whose last write failed.

    After a failed write the disk may hold either the old or the new content;
    which one is only known after the machine has restarted.
    """

    def __init__(self, records: Records) -> None:
        self.uncertain_names: set[str] = set()
        self._records = records

    def write(self, name: str, data: bytes) -> None:
        """Returns once the record is durable; a DiskError leaves its content uncertain."""
        try:
            self._records.write(name, data)
        except DiskError:
            self.uncertain_names.add(name)
            raise
        self.uncertain_names.discard(name)
