"""The configurations that were acknowledged, in a Git object store on disk.

Best effort and bounded: it is never asked before an acknowledgement, and the
stores' registers are what holds.  One that is damaged is put aside and begun
anew.
"""

import json
import os
import shutil
import time
from collections.abc import Iterator
from typing import NamedTuple, TypeVar

from dulwich.objects import Blob, Commit, ObjectID, Tree
from dulwich.refs import Ref
from dulwich.repo import Repo

from marblefold.errors import MeshError

__all__ = ["Version", "Versions"]

_BRANCH = Ref(b"refs/heads/configurations")
_FILE = b"configuration.json"
_WHO = b"marblefold <marblefold@localhost>"
_REGULAR = 0o100644
_Kind = TypeVar("_Kind", Blob, Commit, Tree)


class Version(NamedTuple):
    """One configuration that was acknowledged, at a time in Unix seconds."""

    number: int
    at: int
    commit: str


class Versions:
    """Blocking: to be used from a thread of its own."""

    def __init__(self, folder: str, most: int = 200) -> None:
        self._folder = folder
        self._most = most
        self._repo: Repo | None = None
        # Why the history before was put aside, if it was.
        self.damage = ""

    def open(self) -> None:
        """Opens the store, or begins one; what cannot be read is put aside."""
        os.makedirs(os.path.dirname(self._folder) or ".", exist_ok=True)
        if os.path.exists(self._folder):
            try:
                self._repo = Repo(self._folder)
                self._check()
                return
            except Exception as error:
                # Torn objects make the library raise almost anything.
                self.damage = f"{type(error).__name__}: {error}"
                self._put_aside()
        self._repo = Repo.init_bare(self._folder, mkdir=True)

    def add(self, number: int, body: bytes) -> bool:
        """Keeps a configuration; one that is not above the newest is there already."""
        newest = next(self.newest_first(), None)
        if newest is not None and newest.number >= number:
            return False
        self._commit(number, body, int(time.time()), newest.commit if newest else "")
        # Rewritten at twice the bound, so that it seldom is.
        if sum(1 for _version in self.newest_first()) > 2 * self._most:
            self._forget_old()
        return True

    def newest_first(self) -> Iterator[Version]:
        """The versions kept."""
        commit_id = self._opened().refs.read_ref(_BRANCH)
        while commit_id:
            commit = self._read_object(commit_id, Commit)
            number = int(commit.message.decode().removeprefix("configuration "))
            yield Version(number, commit.commit_time, commit.id.decode())
            commit_id = commit.parents[0] if commit.parents else None

    def read(self, number: int) -> bytes:
        """A version as it was put; a MeshError where it is not kept."""
        for version in self.newest_first():
            if version.number == number:
                commit = self._read_object(version.commit.encode(), Commit)
                tree = self._read_object(commit.tree, Tree)
                return self._read_object(tree[_FILE][1], Blob).data
        raise MeshError("history", f"version {number} is not kept")

    def _opened(self) -> Repo:
        if self._repo is None:
            raise MeshError("history", "not open")
        return self._repo

    def _read_object(self, object_id: bytes, kind: type[_Kind]) -> _Kind:
        found = self._opened()[object_id]
        if not isinstance(found, kind):
            raise MeshError("history", f"{object_id!r} is no {kind.__name__}")
        return found

    def _commit(self, number: int, body: bytes, at: int, parent: str) -> None:
        objects = self._opened().object_store
        blob = Blob.from_string(body)
        objects.add_object(blob)
        tree = Tree()
        tree.add(_FILE, _REGULAR, blob.id)
        objects.add_object(tree)
        commit = Commit()
        commit.tree = tree.id
        commit.parents = [ObjectID(parent.encode())] if parent else []
        commit.author = commit.committer = _WHO
        commit.author_time = commit.commit_time = at
        commit.author_timezone = commit.commit_timezone = 0
        commit.encoding = b"UTF-8"
        commit.message = f"configuration {number}".encode()
        objects.add_object(commit)
        self._opened().refs[_BRANCH] = commit.id

    def _check(self) -> None:
        """Reads what is newest: a torn one shows here, and not when it is wanted."""
        for version in self.newest_first():
            json.loads(self.read(version.number))

    def _forget_old(self) -> None:
        kept = list(self.newest_first())[: self._most]
        bodies = [(version, self.read(version.number)) for version in reversed(kept)]
        fresh = self._folder + ".new"
        shutil.rmtree(fresh, ignore_errors=True)
        self._opened().close()
        self._repo = fresh_repo = Repo.init_bare(fresh, mkdir=True)
        parent = ""
        for version, body in bodies:
            self._commit(version.number, body, version.at, parent)
            parent = fresh_repo.refs[_BRANCH].decode()
        fresh_repo.close()
        old = self._folder + ".old"
        shutil.rmtree(old, ignore_errors=True)
        os.rename(self._folder, old)
        os.rename(fresh, self._folder)
        shutil.rmtree(old, ignore_errors=True)
        self._repo = Repo(self._folder)

    def _put_aside(self) -> None:
        aside = self._folder + ".damaged"
        shutil.rmtree(aside, ignore_errors=True)
        os.rename(self._folder, aside)
