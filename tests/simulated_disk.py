"""A simulated disk for the real RegisterFiles and the real dbm.dumb.

Files are inodes, the folder is a table of names.  A change of either is durable
only once it is synced.  A power loss keeps or loses each unsynced link and
unlink independently, and leaves the bytes of an unsynced file missing,
truncated, zeroed or complete.
"""

import dbm.dumb
import errno
import io
import itertools
import os

from marblefold.register_store import register_files

FOLDER = "/disk"


class PowerLost(BaseException):
    """Simulates a power loss; a BaseException, so that the program cannot handle it."""


class Inode:
    """The content of one file, as written and as last synced."""

    def __init__(self, data=b"", synced=None):
        self.data = data
        self.synced = synced

    def after_power_loss(self):
        """The possible contents of the file after a power loss."""
        if self.synced == self.data:
            return [self.data]
        truncated = self.data[: len(self.data) // 2]
        return list(
            dict.fromkeys([self.synced or b"", truncated, bytes(len(self.data)), self.data])
        )


class SimulatedDisk:
    """One folder; counts operations, and can fail or lose power at a given one."""

    def __init__(self, files=()):
        self.names = {name: Inode(data, data) for name, data in dict(files).items()}
        self.durable = dict(self.names)
        self.pending = []
        self.operations = 0
        self.power_loss_at = None
        self.is_full = False
        self.failing_operations = set()
        self.syncs = 0

    def count_operation(self, operation):
        """Counts one operation of the program, and raises the configured failure."""
        self.operations += 1
        if self.power_loss_at is not None and self.operations >= self.power_loss_at:
            raise PowerLost
        if operation in self.failing_operations:
            raise OSError(errno.EIO, f"{operation} failed")

    def link(self, name, inode):
        self.names[name] = inode
        self.pending.append(("link", name, inode))

    def unlink(self, name):
        inode = self.names.pop(name)
        self.pending.append(("unlink", name, inode))
        return inode

    def write_data(self, inode, data):
        self.count_operation("write")
        if self.is_full and len(data) > len(inode.data):
            # Part of the data still fits.
            inode.data = data[: (len(inode.data) + len(data)) // 2]
            raise OSError(errno.ENOSPC, "No space left on device")
        inode.data = data

    def states_after_power_loss(self):
        """Every possible state of the folder, as tuples of names and contents."""
        for kept in itertools.product((True, False), repeat=len(self.pending)):
            yield from self.states_with(kept)

    def states_with(self, kept):
        """The states in which exactly these changes of the folder were kept."""
        names = self.names_with(kept)
        contents = [inode.after_power_loss() for inode in names.values()]
        for data in itertools.product(*contents):
            yield tuple(sorted(zip(names, data, strict=True)))

    def random_state(self, rng):
        """One of the possible states, selected at random."""
        names = self.names_with([rng.random() < 0.5 for _operation in self.pending])
        return tuple((name, rng.choice(inode.after_power_loss())) for name, inode in names.items())

    def names_with(self, kept):
        names = dict(self.durable)
        for is_kept, (operation, name, inode) in zip(kept, self.pending, strict=True):
            if is_kept and operation == "link":
                names[name] = inode
            elif is_kept and names.get(name) is inode:
                del names[name]
        return names

    def install(self, monkeypatch):
        """Replaces the os and io modules of dbm.dumb and RegisterFiles with this disk."""
        system = _SimulatedSystem(self)
        monkeypatch.setattr(register_files, "os", system)
        monkeypatch.setattr(dbm.dumb, "_os", system)
        monkeypatch.setattr(dbm.dumb, "_io", system)
        monkeypatch.setattr(dbm.dumb._Database, "_os", system)
        monkeypatch.setattr(dbm.dumb._Database, "_io", system)


class _SimulatedSystem:
    """The functions of os and io that dbm.dumb and RegisterFiles call."""

    path = os.path
    fsencode = staticmethod(os.fsencode)
    umask = staticmethod(lambda _mask: 0)
    O_RDONLY = os.O_RDONLY

    def __init__(self, disk):
        self.disk = disk
        self.path = _Paths()

    def listdir(self, _folder):
        self.disk.count_operation("list")
        return [os.path.basename(name) for name in self.disk.names]

    def remove(self, path):
        self.disk.count_operation("remove")
        name = os.fsdecode(path)
        if name not in self.disk.names:
            raise FileNotFoundError(name)
        self.disk.unlink(name)

    unlink = remove

    def rename(self, old, new):
        self.disk.count_operation("rename")
        old, new = os.fsdecode(old), os.fsdecode(new)
        if old not in self.disk.names:
            raise FileNotFoundError(old)
        self.disk.link(new, self.disk.unlink(old))

    def chmod(self, path, mode):
        pass

    # Serves both os.open, whose mode is a number and whose descriptor is the name,
    # and io.open.
    def open(self, path, mode, encoding=None):
        name = os.fsdecode(path)
        if isinstance(mode, int):
            if name != FOLDER and name not in self.disk.names:
                raise FileNotFoundError(name)
            return name
        return self._open_file(name, mode, encoding)

    def close(self, descriptor):
        pass

    def fsync(self, descriptor):
        disk = self.disk
        disk.count_operation("sync")
        disk.syncs += 1
        if descriptor == FOLDER:
            disk.durable, disk.pending = dict(disk.names), []
        else:
            inode = disk.names[descriptor]
            inode.synced = inode.data

    def _open_file(self, name, mode, encoding):
        disk = self.disk
        disk.count_operation("open")
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
    """An open file; its data reaches the disk's cache when it is closed."""

    def __init__(self, disk, inode, is_written):
        super().__init__(inode.data)
        self._disk, self._inode, self._is_written = disk, inode, is_written

    def close(self):
        if not self.closed and self._is_written:
            self._is_written = False
            data = self.getvalue()
            super().close()
            self._disk.write_data(self._inode, data)
        else:
            super().close()
