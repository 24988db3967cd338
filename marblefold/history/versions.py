"""A history of acknowledged configurations, in a Git object store on disk.

Best effort and bounded: no acknowledgement waits for it, and the stores'
registers remain authoritative.  A damaged history is moved aside and a new one
is started.
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
_FILE_NAME = b"configuration.json"
_AUTHOR = b"marblefold <marblefold@localhost>"
_REGULAR_FILE_MODE = 0o100644
_Object = TypeVar("_Object", Blob, Commit, Tree)


class Version(NamedTuple):
    """One acknowledged configuration; `at` is its time in Unix seconds."""

    number: int
    at: int
    commit: str


class Versions:
    """The stored configurations; blocks on disk access, so it needs a thread of its own."""

    def __init__(self, folder: str, max_versions: int = 200) -> None:
        self._folder = folder
        self._max_versions = max_versions
        self._repo: Repo | None = None
        # Why the previous history was moved aside; empty if it was not.
        self.damage = ""

    def open(self) -> None:
        """Opens the object store, or creates it; an unreadable one is moved aside."""
        os.makedirs(os.path.dirname(self._folder) or ".", exist_ok=True)
        if not os.path.exists(self._folder) and os.path.exists(self._old_folder):
            # The process ended while old versions were dropped; this store is complete.
            os.rename(self._old_folder, self._folder)
        if os.path.exists(self._folder):
            try:
                self._repo = Repo(self._folder)
                self._check()
                return
            except Exception as error:
                # On torn objects the library raises exceptions of almost any type.
                self.damage = f"{type(error).__name__}: {error}"
                self._move_aside()
        self._repo = Repo.init_bare(self._folder, mkdir=True)

    def add(self, number: int, body: bytes) -> bool:
        """Stores a configuration; returns False if its number is not above the newest one."""
        newest = next(self.newest_first(), None)
        if newest is not None and newest.number >= number:
            return False
        self._commit(number, body, int(time.time()), newest.commit if newest else "")
        # Rewriting the store at twice the limit keeps rewrites rare.
        if sum(1 for _version in self.newest_first()) > 2 * self._max_versions:
            self._drop_old_versions()
        return True

    def newest_first(self) -> Iterator[Version]:
        """Iterates over the stored versions, newest first."""
        commit_id = self._get_repo().refs.read_ref(_BRANCH)
        while commit_id:
            commit = self._read_object(commit_id, Commit)
            number = int(commit.message.decode().removeprefix("configuration "))
            yield Version(number, commit.commit_time, commit.id.decode())
            commit_id = commit.parents[0] if commit.parents else None

    def read(self, number: int) -> bytes:
        """Returns the body of a version as stored; raises MeshError if it is not stored."""
        for version in self.newest_first():
            if version.number == number:
                commit = self._read_object(version.commit.encode(), Commit)
                tree = self._read_object(commit.tree, Tree)
                return self._read_object(tree[_FILE_NAME][1], Blob).data
        raise MeshError("history", f"version {number} is not kept")

    @property
    def _old_folder(self) -> str:
        return self._folder + ".old"

    def _get_repo(self) -> Repo:
        if self._repo is None:
            raise MeshError("history", "not open")
        return self._repo

    def _read_object(self, object_id: bytes, object_type: type[_Object]) -> _Object:
        stored_object = self._get_repo()[object_id]
        if not isinstance(stored_object, object_type):
            raise MeshError("history", f"{object_id!r} is no {object_type.__name__}")
        return stored_object

    def _commit(self, number: int, body: bytes, at: int, parent: str) -> None:
        objects = self._get_repo().object_store
        blob = Blob.from_string(body)
        objects.add_object(blob)
        tree = Tree()
        tree.add(_FILE_NAME, _REGULAR_FILE_MODE, blob.id)
        objects.add_object(tree)
        commit = Commit()
        commit.tree = tree.id
        commit.parents = [ObjectID(parent.encode())] if parent else []
        commit.author = commit.committer = _AUTHOR
        commit.author_time = commit.commit_time = at
        commit.author_timezone = commit.commit_timezone = 0
        commit.encoding = b"UTF-8"
        commit.message = f"configuration {number}".encode()
        objects.add_object(commit)
        self._get_repo().refs[_BRANCH] = commit.id

    def _check(self) -> None:
        """Reads all versions, so that a torn object is found at once and not by a later call."""
        for version in self.newest_first():
            json.loads(self.read(version.number))

    def _drop_old_versions(self) -> None:
        kept = list(self.newest_first())[: self._max_versions]
        bodies = [(version, self.read(version.number)) for version in reversed(kept)]
        new_folder = self._folder + ".new"
        shutil.rmtree(new_folder, ignore_errors=True)
        self._get_repo().close()
        self._repo = new_repo = Repo.init_bare(new_folder, mkdir=True)
        parent = ""
        for version, body in bodies:
            self._commit(version.number, body, version.at, parent)
            parent = new_repo.refs[_BRANCH].decode()
        new_repo.close()
        shutil.rmtree(self._old_folder, ignore_errors=True)
        os.rename(self._folder, self._old_folder)
        os.rename(new_folder, self._folder)
        shutil.rmtree(self._old_folder, ignore_errors=True)
        self._repo = Repo(self._folder)

    def _move_aside(self) -> None:
        damaged_folder = self._folder + ".damaged"
        shutil.rmtree(damaged_folder, ignore_errors=True)
        os.rename(self._folder, damaged_folder)
