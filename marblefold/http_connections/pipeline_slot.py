"""The slot of one request in the ordered answers of a connection."""

import asyncio
from collections.abc import Callable, Iterable, Iterator

from marblefold.http_connections.answer import Answer
from marblefold.http_connections.client_request import ClientRequest

__all__ = ["PipelineSlot", "find_startable"]

_MAX_CONCURRENT_REQUESTS = 8
_SAFE_METHODS = ("GET", "HEAD", "OPTIONS")


class PipelineSlot:
    """Holds a request, the task that serves it, and its answer until it is written."""

    __slots__ = ("request", "task", "answer", "_is_cancelled")

    def __init__(self, request: ClientRequest | None) -> None:
        self.request = request
        self.task: asyncio.Task | None = None
        self.answer: Answer | None = None
        self._is_cancelled = False

    @property
    def is_head(self) -> bool:
        """Whether the answer must have no body, whatever length it states."""
        return self.request is not None and self.request.method == "HEAD"

    def set_answer(self, answer: Answer) -> None:
        """Stores the answer, or releases it if the client has disconnected."""
        if self._is_cancelled:
            _release(answer)
        else:
            self.answer = answer

    def cancel(self) -> None:
        """Cancels the task that serves the request and releases an answer not yet written."""
        self._is_cancelled = True
        if self.task is not None:
            self.task.cancel()
        if self.answer is not None:
            _release(self.answer)


def find_startable(
    slots: Iterable[PipelineSlot], may_run_concurrently: Callable[[ClientRequest], bool]
) -> Iterator[tuple[PipelineSlot, ClientRequest]]:
    """Finds the requests of a pipeline, given in order, that may start now."""
    running = 0
    for slot in slots:
        request = slot.request
        if request is None:
            return
        is_repeatable = request.method in _SAFE_METHODS and not request.has_body
        # A request that must not run twice starts only once all earlier ones have
        # been answered, and nothing runs beside a method that is not safe.
        if running and not (is_repeatable and may_run_concurrently(request)):
            return
        if slot.task is None and slot.answer is None:
            yield slot, request
        running += 1
        if not is_repeatable or running >= _MAX_CONCURRENT_REQUESTS:
            return


def _release(answer: Answer) -> None:
    if answer.release is not None:
        answer.release()
