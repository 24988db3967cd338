"""Records on a disk that may fail or hang without delaying the program that writes them."""

import threading
from collections.abc import Callable
from typing import Protocol

from marblefold.disk_thread import DiskThread
from marblefold.errors import DiskError
from marblefold.logs import log

__all__ = ["BackgroundRecords"]

_LOAD_TIMEOUT_SECONDS = 1.0


class Records(Protocol):
    """Records that are written before the call returns. Raises DiskError if that fails."""

    def load(self) -> dict[str, bytes]: ...

    def write(self, name: str, data: bytes) -> None: ...


class BackgroundRecords:
    """Writes the newest version of each record in the background; drops failed writes.

    Only for records that are an optimization: the program must be correct if it
    loads older versions, or none.
    """

    def __init__(
        self,
        open_records: Callable[[], Records],
        load_timeout_seconds: float = _LOAD_TIMEOUT_SECONDS,
    ) -> None:
        self._open_records = open_records
        self._load_timeout_seconds = load_timeout_seconds
        self._records: Records | None = None
        self._pending: dict[str, bytes] = {}
        self._lock = threading.Lock()
        self._thread = DiskThread("records")

    def load(self) -> dict[str, bytes]:
        """Returns the records, or none if the disk fails or exceeds the timeout (default 1 s)."""
        future = self._thread.submit(self._load)
        try:
            return future.result(timeout=self._load_timeout_seconds)
        except (DiskError, TimeoutError) as error:
            log.warning(
                "records could not be loaded", reason=str(error) or "the disk does not answer"
            )
            return {}

    def write(self, name: str, data: bytes) -> None:
        """Queues the record and returns at once; it may reach the disk late or never."""
        with self._lock:
            is_queued = bool(self._pending)
            self._pending[name] = data
        if not is_queued:
            self._thread.submit(self._write_pending)

    def _load(self) -> dict[str, bytes]:
        return self._open()[1]

    def _open(self) -> tuple[Records, dict[str, bytes]]:
        records = self._open_records()
        loaded = records.load()
        self._records = records
        return records, loaded

    def _write_pending(self) -> None:
        with self._lock:
            pending, self._pending = self._pending, {}
        try:
            records = self._records or self._open()[0]
            for name, data in pending.items():
                records.write(name, data)
        except DiskError as error:
            log.warning("records could not be written", names=sorted(pending), reason=error.reason)
