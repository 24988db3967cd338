"""Keeps records on disk, each as a fresh, numbered pair of dbm.dumb files.

A record is never overwritten: the new pair is written and synced, the folder
is synced, and only then is the older pair removed.  Loading takes the highest
pair whose checksum holds and removes every other one: torn pairs, pairs that a
full disk cut short, and pairs that a newer one superseded.
"""

import contextlib
import dataclasses
import dbm.dumb
import errno
import os
import re
import zlib
from collections.abc import Iterator

from marblefold.errors import DiskError, MeshError

__all__ = ["RegisterFiles"]

_NAME = re.compile(r"^(?P<key>(?:[0-9a-f]{2})+)\.(?P<number>\d+)\.(?:dat|dir|bak)$")
_ENDINGS = (".dat", ".dir", ".bak")
# File names end at 255 bytes on the file systems in use.
_LONGEST_KEY = 220


@dataclasses.dataclass
class _Pairs:
    """The pairs of one record."""

    # The pair that serves: whole and synced.
    newest: int | None = None
    # Pairs that no longer serve, or never did, and are still to be removed.
    leftover: set[int] = dataclasses.field(default_factory=set)

    @property
    def highest(self) -> int:
        """The highest number on disk."""
        return max(self.leftover | {self.newest or 0})

    @property
    def is_damaged(self) -> bool:
        """Whether the disk lost what was synced; a first pair alone may be torn."""
        return self.newest is None and self.highest > 1


class RegisterFiles:
    """The records of one store, in one folder that nothing else writes records to.

    Every method raises DiskError when the operating system reports an error.
    After a write that failed the record may last as it was before or as it
    should have become: the caller writes it again before it relies on either.
    """

    def __init__(self, folder: str, voided_on_damage: str = "") -> None:
        """Opens the folder; the record so named becomes empty once another is damaged."""
        self._folder = folder
        self._voided_on_damage = voided_on_damage
        self._pairs: dict[str, _Pairs] = {}
        with _disk_errors("open", folder):
            _make_folder(folder)

    def load(self) -> dict[str, bytes]:
        """All records by name, each as the newest pair that is whole holds it.

        What is returned is on disk for good, and nothing else of it is left.  A
        record is damaged if no pair of it is whole, though one was: then the
        record that `voided_on_damage` names is empty, in the answer and on disk.
        """
        with _disk_errors("load", self._folder):
            self._pairs = self._find_pairs()
            records = {
                _name_of(key): data
                for key, pairs in self._pairs.items()
                if (data := self._choose(key, pairs)) is not None
            }
            self._sync_chosen()
        if self._voided_on_damage and any(pairs.is_damaged for pairs in self._pairs.values()):
            # On disk before the last trace of the damage is removed.
            self.write(self._voided_on_damage, b"")
            records[self._voided_on_damage] = b""
        self._clean()
        return records

    def write(self, name: str, data: bytes) -> None:
        """Returns once the record would survive a loss of power."""
        key = name.encode().hex()
        if len(key) > _LONGEST_KEY:
            raise MeshError("write", f"the name of {len(name)} letters is too long")
        pairs = self._pairs.setdefault(key, _Pairs())
        number = pairs.highest + 1
        # Until it is known to be whole it is one to be removed.
        pairs.leftover.add(number)
        try:
            with _disk_errors("write", name):
                self._create(key, number, data)
        except DiskError:
            # A full disk needs the space back.
            self._remove_leftover(key, pairs)
            raise
        pairs.leftover.discard(number)
        if pairs.newest is not None:
            pairs.leftover.add(pairs.newest)
        pairs.newest = number
        # Only now is the older pair no longer needed.
        self._remove_leftover(key, pairs)

    def _find_pairs(self) -> dict[str, _Pairs]:
        found: dict[str, _Pairs] = {}
        for name in os.listdir(self._folder):
            match = _NAME.match(name)
            if match:
                pairs = found.setdefault(match["key"], _Pairs())
                pairs.leftover.add(int(match["number"]))
        return found

    def _choose(self, key: str, pairs: _Pairs) -> bytes | None:
        for number in sorted(pairs.leftover, reverse=True):
            data = self._read(key, number)
            if data is not None:
                pairs.newest = number
                pairs.leftover.discard(number)
                return data
        return None

    def _sync_chosen(self) -> None:
        """Syncs what was chosen: a process that was killed may not have come to it.

        The folder's sync also ends what was removed before: its numbers are free.
        """
        for key, pairs in self._pairs.items():
            if pairs.newest is not None:
                self._sync_pair(key, pairs.newest)
        _sync(self._folder)

    def _clean(self) -> None:
        cleaned = [(key, pairs) for key, pairs in self._pairs.items() if pairs.leftover]
        for key, pairs in cleaned:
            self._remove_leftover(key, pairs)
        if cleaned:
            # Its numbers are used again: nothing of it may come back by then.
            with _disk_errors("load", self._folder):
                _sync(self._folder)

    def _create(self, key: str, number: int, data: bytes) -> None:
        with contextlib.closing(dbm.dumb.open(self._base(key, number), "n")) as pair:
            pair[b"data"] = data
            pair[b"sum"] = b"%d" % zlib.crc32(data)
        self._sync_pair(key, number)
        _sync(self._folder)

    def _sync_pair(self, key: str, number: int) -> None:
        for ending in (".dat", ".dir"):
            _sync(self._base(key, number) + ending)

    def _read(self, key: str, number: int) -> bytes | None:
        """The record in a pair; None if the pair is torn, OSError if the disk fails."""
        try:
            with contextlib.closing(dbm.dumb.open(self._base(key, number), "r")) as pair:
                data = pair[b"data"]
                return data if pair[b"sum"] == b"%d" % zlib.crc32(data) else None
        except FileNotFoundError:
            return None
        except OSError as error:
            # A torn directory points to where no file can be read.
            if error.errno == errno.EINVAL:
                return None
            raise
        except Exception:
            # A torn pair may break the reader at any point.
            return None

    def _remove_leftover(self, key: str, pairs: _Pairs) -> None:
        """Removes what no longer serves; what the disk refuses is tried again later."""
        for number in list(pairs.leftover):
            with contextlib.suppress(OSError):
                for ending in _ENDINGS:
                    with contextlib.suppress(FileNotFoundError):
                        os.remove(self._base(key, number) + ending)
                pairs.leftover.discard(number)

    def _base(self, key: str, number: int) -> str:
        return os.path.join(self._folder, f"{key}.{number}")


def _name_of(key: str) -> str:
    return bytes.fromhex(key).decode()


def _make_folder(folder: str) -> None:
    """Makes the folder and those above it, each kept for good in the one above."""
    if os.path.isdir(folder):
        return
    above = os.path.dirname(os.path.abspath(folder))
    _make_folder(above)
    with contextlib.suppress(FileExistsError):
        os.mkdir(folder)
    _sync(above)


@contextlib.contextmanager
def _disk_errors(step: str, what: str) -> Iterator[None]:
    try:
        yield
    except OSError as error:
        raise DiskError(step, f"{what}: {error}") from error


def _sync(path: str) -> None:
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
