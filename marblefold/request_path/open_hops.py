"""The hops of one request that are not over yet: unanswered ones, and answers in transfer."""

import asyncio
import time

from marblefold.http_connections.answer import Answer
from marblefold.request_path.outcome import HopResult
from marblefold.request_path.pending_hop import PendingHop

__all__ = ["OpenHops"]


class OpenHops:
    """The hops of one request that still hold resources at a peer."""

    def __init__(self) -> None:
        self._pending: list[PendingHop] = []
        self._answers: list[Answer] = []

    def note(self, result: HopResult) -> None:
        """Adds a hop that may still be answered, or whose answer is still in transfer."""
        if result.pending is not None:
            self._pending.append(result.pending)
        if result.answer is not None:
            self._answers.append(result.answer)

    async def wait_for_answer(self, deadline: float) -> Answer | None:
        """Returns the first answer of an unanswered hop, or None if there is none by the deadline.

        The deadline is in monotonic seconds.
        """
        waiting = {hop.arrival: hop for hop in self._pending}
        while waiting and (seconds := deadline - time.monotonic()) > 0:
            done, _pending = await asyncio.wait(
                waiting, timeout=seconds, return_when=asyncio.FIRST_COMPLETED
            )
            for arrival in done:
                answer = waiting.pop(arrival).take_answer()
                if answer is not None:
                    return answer
        return None

    def close(self, used: Answer) -> None:
        """Ends all hops but the one whose answer the client gets."""
        for hop in self._pending:
            hop.cancel()
        for answer in self._answers:
            if answer is not used and answer.release is not None:
                answer.release()
