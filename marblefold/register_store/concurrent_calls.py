"""Calls to several stores at once, whose answers are taken as they arrive."""

import asyncio
from typing import NamedTuple, Protocol

from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.view import View

__all__ = ["ConcurrentCalls", "PeerCaller", "StoreReply"]


class PeerCaller(Protocol):
    """How a proposer reaches the acceptors, including the local one."""

    async def call(self, peer: str, call: messages_pb2.StoreCall) -> messages_pb2.StoreAnswer: ...

    def learn_view(self, view: View) -> None: ...

    def current_view(self) -> View | None: ...


class StoreReply(NamedTuple):
    """The answer of one store, or None if its call failed."""

    peer: str
    answer: messages_pb2.StoreAnswer | None


class ConcurrentCalls:
    """Calls several stores. The calls go on if their answers are no longer awaited."""

    def __init__(self, peers: PeerCaller, calls: dict[str, messages_pb2.StoreCall]) -> None:
        """calls: the call for each store, by address."""
        loop = asyncio.get_running_loop()
        self._tasks = {
            loop.create_task(peers.call(name, call)): name for name, call in calls.items()
        }
        self._pending = set(self._tasks)
        for task in self._tasks:
            task.add_done_callback(_retrieve_exception)

    @property
    def pending_count(self) -> int:
        """How many stores have neither answered nor failed."""
        return len(self._pending)

    async def next_replies(self, seconds: float) -> list[StoreReply]:
        """Waits for the next replies; an empty list means that the time is up."""
        done, self._pending = await asyncio.wait(
            self._pending, timeout=seconds, return_when=asyncio.FIRST_COMPLETED
        )
        # In the order of the call, so that simulated runs are reproducible.
        return [
            StoreReply(name, None if task.exception() is not None else task.result())
            for task, name in self._tasks.items()
            if task in done
        ]


def _retrieve_exception(task: asyncio.Task[messages_pb2.StoreAnswer]) -> None:
    # Otherwise asyncio logs that the exception was never retrieved.
    if not task.cancelled():
        task.exception()
