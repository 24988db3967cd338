"""The slot of one request in the ordered answers of a connection."""

import asyncio

from marblefold.http_connections.answer import Answer
from marblefold.http_connections.client_request import ClientRequest

__all__ = ["PipelineSlot"]


class PipelineSlot:
    """Holds a request, the task that serves it, and its answer until it is written."""

    __slots__ = ("request", "task", "answer", "_is_cancelled")

    def __init__(self, request: ClientRequest | None) -> None:
        self.request = request
        self.task: asyncio.Task | None = None
        self.answer: Answer | None = None
        self._is_cancelled = False

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


def _release(answer: Answer) -> None:
    if answer.release is not None:
        answer.release()
