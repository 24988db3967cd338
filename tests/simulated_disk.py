"""A simulated disk under the real RegisterFiles and the real dbm.dumb.

Files are inodes, the folder is a table of names.  A change of either lasts
through a loss of power for certain only once it is synced; until then each
link and unlink is kept or lost by itself, and the bytes of a file may be
missing, cut short, zero or whole.
"""

import dbm.dumb
import errno
import io
import itertools
import os

from marblefold.register_store import register_files

FOLDER = "/disk"


class PowerLost(BaseException):
    """The machine is off: no code of the program handles this."""


class Inode:
    """The bytes of one file, as written and as last synced."""

    def __init__(self, data=b"", synced=None):
        self.data = data
        self.synced = synced

    def after_power_loss(self):
        """What may be found of it."""
        if self.synced == self.data:
            return [self.data]
        cut = self.data[: len(self.data) // 2]
        return list(dict.fromkeys([self.synced or b"", cut, bytes(len(self.data)), self.data]))


class SimulatedDisk:
    """One folder; counts the operations, and fails or ends at a chosen one."""

    def __init__(self, files=()):
        self.names = {name: Inode(data, data) for name, data in dict(files).items()}
        self.durable = dict(self.names)
        self.pending = []
        self.operations = 0
        self.power_ends_at = None
        self.is_full = False
        self.failing = set()
        self.syncs = 0

    def step(self, kind):
        """One operation of the program."""
        self.operations += 1
        if self.power_ends_at is not None and self.operations >= self.power_ends_at:
            raise PowerLost
        if kind in self.failing:
            raise OSError(errno.EIO, f"{kind} failed")

    def link(self, name, inode):
        self.names[name] = inode
        self.pending.append(("link", name, inode))

    def unlink(self, name):
        inode = self.names.pop(name)
        self.pending.append(("unlink", name, inode))
        return inode

    def store(self, inode, data):
        self.step("write")
        if self.is_full and len(data) > len(inode.data):
            # Some of it still found room.
            inode.data = data[: (len(inode.data) + len(data)) // 2]
            raise OSError(errno.ENOSPC, "No space left on device")
        inode.data = data

    def states_after_power_loss(self):
        """Every folder that may be found, as tuples of names and bytes."""
        for kept in itertools.product((True, False), repeat=len(self.pending)):
            yield from self.states_with(kept)

    def states_with(self, kept):
        """Those in which just these changes of the folder were kept."""
        names = self.names_with(kept)
        contents = [inode.after_power_loss() for inode in names.values()]
        for data in itertools.product(*contents):
            yield tuple(sorted(zip(names, data, strict=True)))

    def random_state(self, chance):
        """One of the states, drawn at random."""
        names = self.names_with([chance.random() < 0.5 for _change in self.pending])
        return tuple(
            (name, chance.choice(inode.after_power_loss())) for name, inode in names.items()
        )

    def names_with(self, kept):
        names = dict(self.durable)
        for is_kept, (kind, name, inode) in zip(kept, self.pending, strict=True):
            if is_kept and kind == "link":
                names[name] = inode
            elif is_kept and names.get(name) is inode:
                del names[name]
        return names

    def install(self, monkeypatch):
        """Puts the disk under the library and under RegisterFiles."""
        system = _System(self)
        monkeypatch.setattr(register_files, "os", system)
        monkeypatch.setattr(dbm.dumb, "_os", system)
        monkeypatch.setattr(dbm.dumb, "_io", system)
        monkeypatch.setattr(dbm.dumb._Database, "_os", system)
        monkeypatch.setattr(dbm.dumb._Database, "_io", system)


class _System:
    """The calls of os and io that the library and RegisterFiles make."""

    path = os.path
    fsencode = staticmethod(os.fsencode)
    umask = staticmethod(lambda _mask: 0)
    O_RDONLY = os.O_RDONLY

    def __init__(self, disk):
        self.disk = disk
        self.path = _Paths()

    def listdir(self, _folder):
        self.disk.step("list")
        return [os.path.basename(name) for name in self.disk.names]

    def remove(self, path):
        self.disk.step("remove")
        name = os.fsdecode(path)
        if name not in self.disk.names:
            raise FileNotFoundError(name)
        self.disk.unlink(name)

    unlink = remove

    def rename(self, old, new):
        self.disk.step("rename")
        old, new = os.fsdecode(old), os.fsdecode(new)
        if old not in self.disk.names:
            raise FileNotFoundError(old)
        self.disk.link(new, self.disk.unlink(old))

    def chmod(self, path, mode):
        pass

    # A handle of os.open is the name itself; an open of io has a mode.
    def open(self, path, mode, encoding=None):
        name = os.fsdecode(path)
        if isinstance(mode, int):
            if name != FOLDER and name not in self.disk.names:
                raise FileNotFoundError(name)
            return name
        return self._open_file(name, mode, encoding)

    def close(self, handle):
        pass

    def fsync(self, handle):
        disk = self.disk
        disk.step("sync")
        disk.syncs += 1
        if handle == FOLDER:
            disk.durable, disk.pending = dict(disk.names), []
        else:
            inode = disk.names[handle]
            inode.synced = inode.data

    def _open_file(self, name, mode, encoding):
        disk = self.disk
        disk.step("open")
        inode = disk.names.get(name)
        if inode is None:
            if mode[0] == "r":
                raise FileNotFoundError(name)
            inode = Inode()
            disk.link(name, inode)
        if mode[0] == "w":
            inode.data = b""
        file = _File(disk, inode, is_written=mode not in ("r", "rb"))
        if mode[0] == "a":
            file.seek(0, io.SEEK_END)
        return io.TextIOWrapper(file, encoding=encoding) if encoding else file


class _Paths:
    join = staticmethod(os.path.join)
    dirname = staticmethod(os.path.dirname)
    abspath = staticmethod(os.path.abspath)

    def isdir(self, path):
        return path == FOLDER


class _File(io.BytesIO):
    """An open file; what was written reaches the disk's cache when it is closed."""

    def __init__(self, disk, inode, is_written):
        super().__init__(inode.data)
        self._disk, self._inode, self._is_written = disk, inode, is_written

    def close(self):
        if not self.closed and self._is_written:
            self._is_written = False
            data = self.getvalue()
            super().close()
            self._disk.store(self._inode, data)
        else:
            super().close()
