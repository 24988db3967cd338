"""The versions of marblefold that the programs of a soak test run."""

import random
import subprocess
import tomllib
from collections.abc import Sequence
from pathlib import Path

__all__ = ["Builds", "export_commit", "make_builds", "read_production_commit"]

_DEPLOY_FILE = Path("deploy/system.toml")


class Builds:
    """Source trees, oldest first; each start of a program takes one of them at random."""

    def __init__(self, sources: Sequence[Path], rng: random.Random) -> None:
        self._sources = list(sources)
        self._rng = rng
        # How many programs were started from each source tree, oldest first.
        self._starts = dict.fromkeys(self._sources, 0)

    @property
    def is_mixed(self) -> bool:
        """Whether programs of several versions run together."""
        return len(self._sources) > 1

    def choose(self) -> Path:
        """Returns the source tree for the next start of a program."""
        source = self._rng.choice(self._sources)
        self._starts[source] += 1
        return source

    @property
    def starts(self) -> tuple[int, ...]:
        """How many programs were started from each version, oldest first."""
        return tuple(self._starts.values())

    def use_newest_only(self) -> None:
        """Makes all later starts take the newest version."""
        del self._sources[:-1]


def read_production_commit() -> str:
    """Returns the commit that the deploy file names as the version in production."""
    return tomllib.loads(_DEPLOY_FILE.read_text())["production"]


def export_commit(commit: str, folder: Path) -> Path:
    """Writes the sources of a commit of this repository to a new folder.

    Raises CalledProcessError if the repository does not have the commit.
    """
    folder.mkdir(parents=True)
    archive = subprocess.run(
        ["git", "archive", "--format=tar", commit, "marblefold", "tools"],
        stdout=subprocess.PIPE,
        check=True,
    )
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True)
    return folder


def make_builds(previous: str, folder: Path, rng: random.Random) -> Builds:
    """Returns the working tree's build, and that of the commit `previous` unless it is empty.

    `previous` may be "production", the commit that the deploy file names.
    """
    sources = [Path.cwd()]
    if previous:
        commit = read_production_commit() if previous == "production" else previous
        sources.insert(0, export_commit(commit, folder / "previous-build"))
    return Builds(sources, rng)
