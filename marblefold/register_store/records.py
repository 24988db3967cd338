"""Where a store's records last, and which of them a failed write left in doubt."""

from typing import Protocol

from marblefold.errors import DiskError

__all__ = ["UncertainRecords", "Records"]


class Records(Protocol):
    """Where records last; both methods raise DiskError when the disk fails."""

    def load(self) -> dict[str, bytes]: ...

    def write(self, name: str, data: bytes) -> None: ...


class UncertainRecords:
    """Records, and the names of those whose last write failed.

    After a failed write the disk may hold the record as it was before or as it
    should have become, and nobody knows which before the machine starts again.
    """

    def __init__(self, records: Records) -> None:
        self.uncertain_names: set[str] = set()
        self._records = records

    def write(self, name: str, data: bytes) -> None:
        """Returns once the record lasts; DiskError leaves it in doubt."""
        try:
            self._records.write(name, data)
        except DiskError:
            self.uncertain_names.add(name)
            raise
        self.uncertain_names.discard(name)
