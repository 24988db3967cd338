"""The requests that the target beside this proxy is running.

A target may make calls of its own in the midst of a run.  Where such a call's
id begins with the id of a run under way here, it is known for what it is: the
run fails with it, and where the run is itself a repeat, the call counts as one.
Ids of another form are simply not recognised.
"""

from typing import NamedTuple

__all__ = ["Run", "RunningWork"]


class Run(NamedTuple):
    """One request that the target is running."""

    attempt_id: str
    is_repeat: bool
    # Its span, where this node traces.
    span: object = None


class RunningWork:
    """Kept by the guard, asked by the outbound side of the same proxy."""

    def __init__(self) -> None:
        self._runs: dict[str, Run] = {}

    def begin(self, run: Run) -> None:
        """The target was offered the request."""
        self._runs[run.attempt_id] = run

    def end(self, run: Run) -> None:
        """The target is done with it."""
        self._runs.pop(run.attempt_id, None)

    def find_parent(self, attempt_id: str) -> Run | None:
        """The run in whose midst the call was made, if that can be told."""
        for known, run in self._runs.items():
            if len(attempt_id) > len(known) and attempt_id.startswith(known):
                return run
        return None
