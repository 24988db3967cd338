"""The place of one request in the order in which a client gets its answers."""

import asyncio

from marblefold.http_connections.answer import Answer
from marblefold.http_connections.client_request import ClientRequest

__all__ = ["AnswerPlace"]


class AnswerPlace:
    """Holds a request, the task that serves it, and its answer until it is written."""

    __slots__ = ("request", "task", "answer", "_is_dropped")

    def __init__(self, request: ClientRequest | None) -> None:
        self.request = request
        self.task: asyncio.Task | None = None
        self.answer: Answer | None = None
        self._is_dropped = False

    def take_answer(self, answer: Answer) -> None:
        """The request was served; where nobody waits any more, the answer is given up."""
        if self._is_dropped:
            _release(answer)
        else:
            self.answer = answer

    def drop(self) -> None:
        """Nobody waits for the answer: whoever works on it is told to stop."""
        self._is_dropped = True
        if self.task is not None:
            self.task.cancel()
        if self.answer is not None:
            _release(self.answer)


def _release(answer: Answer) -> None:
    if answer.release is not None:
        answer.release()
