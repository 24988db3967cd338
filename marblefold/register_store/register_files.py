"""Keeps records on disk, each as a fresh, numbered pair of dbm.dumb files.

A record is never overwritten: the new pair is written and synced, the folder
is synced, and only then is the older pair removed.  Loading takes the highest
pair whose checksum holds, so a torn pair is passed over.
"""

import contextlib
import dbm.dumb
import os
import re
import zlib

__all__ = ["RegisterFiles"]

_NAME = re.compile(r"^(?P<key>[0-9a-f]+)\.(?P<number>\d+)\.(?:dat|dir|bak)$")
_ENDINGS = (".dat", ".dir", ".bak")


class RegisterFiles:
    """The records of one store."""

    def __init__(self, folder: str) -> None:
        self._folder = folder
        os.makedirs(folder, exist_ok=True)
        self._numbers: dict[str, int] = {}

    def load(self) -> dict[str, bytes]:
        """All records, by name; torn ones are ignored, older ones serve then."""
        found: dict[str, list[int]] = {}
        for name in os.listdir(self._folder):
            match = _NAME.match(name)
            if match:
                found.setdefault(match["key"], []).append(int(match["number"]))
        records = {}
        for key, numbers in found.items():
            self._numbers[key] = max(numbers)
            for number in sorted(set(numbers), reverse=True):
                data = self._read(key, number)
                if data is not None:
                    records[bytes.fromhex(key).decode()] = data
                    break
        return records

    def write(self, name: str, data: bytes) -> None:
        """Returns once the record would survive a loss of power."""
        key = name.encode().hex()
        older = self._numbers.get(key)
        number = (older or 0) + 1
        self._numbers[key] = number
        base = self._base(key, number)
        with contextlib.closing(dbm.dumb.open(base, "n")) as pair:
            pair[b"data"] = data
            pair[b"sum"] = b"%d" % zlib.crc32(data)
        for ending in (".dat", ".dir"):
            _sync(base + ending)
        _sync(self._folder)
        # Only now is the older pair no longer needed.
        if older is not None:
            self._remove(key, older)

    def _read(self, key: str, number: int) -> bytes | None:
        base = self._base(key, number)
        # A torn pair may break the reader at any point.
        try:
            with contextlib.closing(dbm.dumb.open(base, "r")) as pair:
                data = pair[b"data"]
                return data if pair[b"sum"] == b"%d" % zlib.crc32(data) else None
        except Exception:
            return None

    def _remove(self, key: str, number: int) -> None:
        for ending in _ENDINGS:
            with contextlib.suppress(FileNotFoundError):
                os.remove(self._base(key, number) + ending)

    def _base(self, key: str, number: int) -> str:
        return os.path.join(self._folder, f"{key}.{number}")


def _sync(path: str) -> None:
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
