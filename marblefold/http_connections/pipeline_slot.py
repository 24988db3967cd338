"""The position of one request in the ordered answers of a connection."""

import asyncio

from marblefold.http_connections.answer import Answer
from marblefold.http_connections.client_request import ClientRequest

__all__ = ["PipelineSlot"]


class PipelineSlot:
    """Holds a request, the task that serves it, and its answer until it is written."""

    __slots__ = ("request", "task", "answer", "_is_dropped")

    def __init__(self, request: ClientRequest | None) -> None:
        self.request = request
        self.task: asyncio.Task | None = None
        self.answer: Answer | None = None
        self._is_dropped = False

    def set_answer(self, answer: Answer) -> None:
        """Stores the answer; if the client is gone, it is released instead."""
        if self._is_dropped:
            _release(answer)
        else:
            self.answer = answer

    def drop(self) -> None:
        """The client is gone: cancels the task that serves the request."""
        self._is_dropped = True
        if self.task is not None:
            self.task.cancel()
        if self.answer is not None:
            _release(self.answer)


def _release(answer: Answer) -> None:
    if answer.release is not None:
        answer.release()
