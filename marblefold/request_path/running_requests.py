"""The requests that the target beside this proxy is running.

A target may make calls while it processes a request.  A call whose id begins with
the id of a request running here is recognised as a nested call: that request fails
if the call fails, and if it is a repeat, the call counts as one too.  Ids of another
form are not recognised.
"""

from typing import NamedTuple

__all__ = ["RunningRequest", "RunningRequests"]


class RunningRequest(NamedTuple):
    """One request that the target is running."""

    attempt_id: str
    is_repeat: bool
    # Its span, if this node traces.
    span: object = None


class RunningRequests:
    """Updated by the guard and read by the outbound side of the same proxy."""

    def __init__(self) -> None:
        self._runs: dict[str, RunningRequest] = {}

    def begin(self, run: RunningRequest) -> None:
        """The request was offered to the target."""
        self._runs[run.attempt_id] = run

    def end(self, run: RunningRequest) -> None:
        """The request is over."""
        self._runs.pop(run.attempt_id, None)

    def find_parent(self, attempt_id: str) -> RunningRequest | None:
        """The running request that made the call, if it can be recognised."""
        for known, run in self._runs.items():
            if len(attempt_id) > len(known) and attempt_id.startswith(known):
                return run
        return None
