"""Stores each record on disk as a numbered pair of dbm.dumb files.

A record is never overwritten: the new pair is written and synced, the folder
is synced, and only then is the older pair removed.  Loading takes the pair with
the highest number whose checksum matches and removes every other one: torn
pairs, pairs truncated by a full disk, and pairs that a newer one superseded.
A pair may name its format; without a name it has the first one.
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

_FILE_NAME = re.compile(r"^(?P<key>(?:[0-9a-f]{2})+)\.(?P<number>\d+)\.(?:dat|dir|bak)$")
_FILE_SUFFIXES = (".dat", ".dir", ".bak")
# The file systems in use limit names to 255 bytes; number and suffix need the rest.
_MAX_KEY_LENGTH = 220
# The newest format that this version reads.
_FORMAT = 1
# dbm.dumb parses with `ast`, which may fail if garbage is collected meanwhile.
_READ_ATTEMPTS = 3


@dataclasses.dataclass
class _Pairs:
    """The numbers of the pairs of one record."""

    # The pair in use: complete and synced.
    current: int | None = None
    # Superseded or incomplete pairs that are still to be removed.
    obsolete: set[int] = dataclasses.field(default_factory=set)

    @property
    def highest(self) -> int:
        """The highest number on disk."""
        return max(self.obsolete | {self.current or 0})

    @property
    def is_damaged(self) -> bool:
        """Whether the disk lost synced data; a torn first pair may never have been synced."""
        return self.current is None and self.highest > 1


class RegisterFiles:
    """Durable records in a folder that no other process writes records to.

    Every method raises DiskError when the operating system reports an error.
    After a failed write the disk may hold either the old or the new content:
    the caller must repeat the write before it relies on one of them.
    """

    def __init__(self, folder: str, cleared_on_damage: str = "") -> None:
        """Opens the folder and creates it if needed.

        cleared_on_damage: name of a record that `load` makes empty if the disk
        lost another record.
        """
        self._folder = folder
        self._cleared_on_damage = cleared_on_damage
        self._pairs: dict[str, _Pairs] = {}
        # Why nothing may be written: a newer version wrote records here.
        self._refusal = ""
        with _disk_errors("open", folder):
            _make_folder(folder)

    def load(self) -> dict[str, bytes]:
        """Returns all records by name, each from its newest complete pair.

        Everything returned is durable, and all other pairs are removed.  A record
        is damaged if it has no complete pair but once had one: then the record
        named by `cleared_on_damage` is empty, in the result and on disk.
        A record of a newer format raises DiskError, here and in `write`; nothing is changed.
        """
        with _disk_errors("load", self._folder):
            self._pairs = self._find_pairs()
            records = {
                _record_name(key): data
                for key, pairs in self._pairs.items()
                if (data := self._select_pair(key, pairs)) is not None
            }
            self._sync_current()
        if self._cleared_on_damage and any(pairs.is_damaged for pairs in self._pairs.values()):
            # Must be on disk before the damaged pairs, the only sign of the damage, are removed.
            self.write(self._cleared_on_damage, b"")
            records[self._cleared_on_damage] = b""
        self._remove_all_obsolete()
        return records

    def write(self, name: str, data: bytes) -> None:
        """Returns once the record would survive a power loss."""
        if self._refusal:
            raise DiskError("write", self._refusal)
        key = name.encode().hex()
        if len(key) > _MAX_KEY_LENGTH:
            raise MeshError("write", f"the name of {len(name)} letters is too long")
        pairs = self._pairs.setdefault(key, _Pairs())
        number = pairs.highest + 1
        # To be removed unless it is known to be complete.
        pairs.obsolete.add(number)
        try:
            with _disk_errors("write", name):
                self._create(key, number, data)
        except DiskError:
            # Frees the space, as the disk may be full.
            self._remove_obsolete(key, pairs)
            raise
        pairs.obsolete.discard(number)
        if pairs.current is not None:
            pairs.obsolete.add(pairs.current)
        pairs.current = number
        # The older pair is needed until the new one is synced.
        self._remove_obsolete(key, pairs)

    def _find_pairs(self) -> dict[str, _Pairs]:
        found: dict[str, _Pairs] = {}
        for name in os.listdir(self._folder):
            match = _FILE_NAME.match(name)
            if match:
                pairs = found.setdefault(match["key"], _Pairs())
                pairs.obsolete.add(int(match["number"]))
        return found

    def _select_pair(self, key: str, pairs: _Pairs) -> bytes | None:
        for number in sorted(pairs.obsolete, reverse=True):
            data = self._read(key, number)
            if data is not None:
                pairs.current = number
                pairs.obsolete.discard(number)
                return data
        return None

    def _sync_current(self) -> None:
        """Syncs the selected pairs, as a killed process may have written them without a sync.

        Syncing the folder also makes earlier removals durable, so that their
        numbers can be used again.
        """
        for key, pairs in self._pairs.items():
            if pairs.current is not None:
                self._sync_pair(key, pairs.current)
        _sync(self._folder)

    def _remove_all_obsolete(self) -> None:
        with_obsolete = [(key, pairs) for key, pairs in self._pairs.items() if pairs.obsolete]
        for key, pairs in with_obsolete:
            self._remove_obsolete(key, pairs)
        if with_obsolete:
            # The numbers are used again: a removed pair must not reappear after a power loss.
            with _disk_errors("load", self._folder):
                _sync(self._folder)

    def _create(self, key: str, number: int, data: bytes) -> None:
        with contextlib.closing(dbm.dumb.open(self._path_prefix(key, number), "n")) as pair:
            pair[b"data"] = data
            pair[b"sum"] = b"%d" % zlib.crc32(data)
        self._sync_pair(key, number)
        _sync(self._folder)

    def _sync_pair(self, key: str, number: int) -> None:
        for suffix in (".dat", ".dir"):
            _sync(self._path_prefix(key, number) + suffix)

    def _read(self, key: str, number: int) -> bytes | None:
        """Returns the record in a pair, or None if the pair is torn; OSError if the disk fails.

        Raises DiskError if the interpreter fails: that says nothing of the pair, and a pair
        taken for torn would be removed.
        """
        for _attempt in range(_READ_ATTEMPTS):
            try:
                return self._read_once(key, number)
            except (SystemError, RecursionError, MemoryError) as error:
                failure = error
        raise DiskError("load", f"{_record_name(key)}: {failure!r}") from failure

    def _read_once(self, key: str, number: int) -> bytes | None:
        try:
            with contextlib.closing(dbm.dumb.open(self._path_prefix(key, number), "r")) as pair:
                data = pair[b"data"]
                if pair[b"sum"] != b"%d" % zlib.crc32(data):
                    return None
                written_format = int(pair.get(b"format", b"1"))
        except FileNotFoundError:
            return None
        except OSError as error:
            # A torn .dir file may contain an invalid offset into the data file.
            if error.errno == errno.EINVAL:
                return None
            raise
        except (SystemError, RecursionError, MemoryError):
            raise
        except Exception:
            # dbm.dumb may raise any exception on a torn pair.
            return None
        if written_format > _FORMAT:
            self._refusal = f"{_record_name(key)} has format {written_format}, newer than {_FORMAT}"
            raise DiskError("load", self._refusal)
        return data

    def _remove_obsolete(self, key: str, pairs: _Pairs) -> None:
        """Removes the obsolete pairs; a removal that fails is retried later."""
        for number in list(pairs.obsolete):
            with contextlib.suppress(OSError):
                for suffix in _FILE_SUFFIXES:
                    with contextlib.suppress(FileNotFoundError):
                        os.remove(self._path_prefix(key, number) + suffix)
                pairs.obsolete.discard(number)

    def _path_prefix(self, key: str, number: int) -> str:
        return os.path.join(self._folder, f"{key}.{number}")


def _record_name(key: str) -> str:
    return bytes.fromhex(key).decode()


def _make_folder(folder: str) -> None:
    """Creates the folder and its parents, and syncs each new entry in its parent."""
    if os.path.isdir(folder):
        return
    parent = os.path.dirname(os.path.abspath(folder))
    _make_folder(parent)
    with contextlib.suppress(FileExistsError):
        os.mkdir(folder)
    _sync(parent)


@contextlib.contextmanager
def _disk_errors(step: str, subject: str) -> Iterator[None]:
    try:
        yield
    except OSError as error:
        raise DiskError(step, f"{subject}: {error}") from error


def _sync(path: str) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
