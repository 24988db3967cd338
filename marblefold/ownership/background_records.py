"""Records whose disk may fail or hang without holding up the program that keeps them."""

import threading
from collections.abc import Callable
from typing import Protocol

from marblefold.disk_thread import DiskThread
from marblefold.errors import DiskError
from marblefold.logs import log

__all__ = ["BackgroundRecords"]

_LOAD_TIMEOUT_SECONDS = 1.0


class Records(Protocol):
    """Records that are written before the call returns; DiskError if they cannot be."""

    def load(self) -> dict[str, bytes]: ...

    def write(self, name: str, data: bytes) -> None: ...


class BackgroundRecords:
    """Writes the newest of each record when the disk takes it; drops what it refuses.

    For records that are only an advantage to have: whoever loads them must be
    right with older ones, and with none.
    """

    def __init__(
        self,
        open_records: Callable[[], Records],
        load_timeout_seconds: float = _LOAD_TIMEOUT_SECONDS,
    ) -> None:
        self._open_records = open_records
        self._load_timeout_seconds = load_timeout_seconds
        self._records: Records | None = None
        self._waiting: dict[str, bytes] = {}
        self._lock = threading.Lock()
        self._thread = DiskThread("records")

    def load(self) -> dict[str, bytes]:
        """The records, or none where the disk does not give them within a second."""
        future = self._thread.submit(self._load)
        try:
            return future.result(timeout=self._load_timeout_seconds)
        except (DiskError, TimeoutError) as error:
            log.warning("records not loaded", reason=str(error) or "the disk does not answer")
            return {}

    def write(self, name: str, data: bytes) -> None:
        """Returns at once; the record is on disk later, or never."""
        with self._lock:
            is_queued = bool(self._waiting)
            self._waiting[name] = data
        if not is_queued:
            self._thread.submit(self._write_waiting)

    def _load(self) -> dict[str, bytes]:
        return self._open()[1]

    def _open(self) -> tuple[Records, dict[str, bytes]]:
        records = self._open_records()
        loaded = records.load()
        self._records = records
        return records, loaded

    def _write_waiting(self) -> None:
        with self._lock:
            waiting, self._waiting = self._waiting, {}
        try:
            records = self._records or self._open()[0]
            for name, data in waiting.items():
                records.write(name, data)
        except DiskError as error:
            log.warning("records not written", names=sorted(waiting), reason=error.reason)
