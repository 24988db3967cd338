"""Tracks the requests that the target beside this proxy is running.

A target may make calls while it processes a request.  A call whose attempt id starts
with the id of a request running here is recognised as a nested call: the request fails
if the call fails, and if the request is a retry, the call counts as one too.  Calls
with ids of another form are not recognised as nested.
"""

from typing import NamedTuple

__all__ = ["RunningRequest", "RunningRequests"]


class RunningRequest(NamedTuple):
    """A request that the target is running."""

    attempt_id: str
    is_retry: bool
    # The span of the request, if this node traces.
    span: object = None


class RunningRequests:
    """The running requests; updated by the guard, read by the outbound side of the proxy."""

    def __init__(self) -> None:
        self._requests: dict[str, RunningRequest] = {}

    def begin(self, request: RunningRequest) -> None:
        """Records that the request was offered to the target."""
        self._requests[request.attempt_id] = request

    def end(self, request: RunningRequest) -> None:
        """Records that the request ended."""
        self._requests.pop(request.attempt_id, None)

    def find_parent(self, attempt_id: str) -> RunningRequest | None:
        """Returns the running request that made the call, if it can be recognised."""
        for running_id, request in self._requests.items():
            if len(attempt_id) > len(running_id) and attempt_id.startswith(running_id):
                return request
        return None
