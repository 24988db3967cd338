"""The Paxos proposer: changes a register by a ballot over a majority of the view."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.ballots import NO_BALLOT, AcceptedState, Ballot, read_accepted_state
from marblefold.register_store.changes import Change, RegisterContent
from marblefold.register_store.generations import NO_GENERATION, is_superseded, later_generation
from marblefold.register_store.peer_call_kinds import CallKind
from marblefold.register_store.view import View, read_view

__all__ = ["PeerCaller", "Proposer"]

_PHASE_TIMEOUT_SECONDS = 0.7
_RETRY_DELAY_RANGE_SECONDS = (0.005, 0.04)


class PeerCaller(Protocol):
    """How a proposer reaches the acceptors, including the local one."""

    async def call(self, peer: str, call: messages_pb2.StoreCall) -> messages_pb2.StoreAnswer: ...

    def learn_view(self, view: View) -> None: ...

    def current_view(self) -> View | None: ...


class _Promises(NamedTuple):
    """The promises of a majority: their generations by peer and their accepted states."""

    generations: dict[str, str]
    states: list[AcceptedState]


class Proposer:
    """Proposes the changes of each register one after the other."""

    def __init__(
        self,
        peers: PeerCaller,
        name: str,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._peers = peers
        self._name = name
        self._sleep = sleep
        self._clock = clock
        self._counter = 0
        self._register_locks: dict[str, asyncio.Lock] = {}

    async def change(self, register: str, change: Change, seconds: float) -> AcceptedState:
        """Applies the change and returns the state that a majority accepted.

        seconds: how long to retry; at least one ballot is run.
        Raises a MeshError if no majority answers in time, or no view is known.
        """
        end = self._clock() + seconds
        lock = self._register_locks.setdefault(register, asyncio.Lock())
        # Concurrent ballots of one proposer would only outbid each other.
        async with lock:
            while True:
                view = self._peers.current_view()
                if view is None:
                    raise MeshError("propose", "no view known")
                state = await self._run_ballot(view, register, change)
                if state is not None:
                    return state
                delay = random.uniform(*_RETRY_DELAY_RANGE_SECONDS)
                if self._clock() + delay >= end:
                    raise MeshError("propose", f"no majority for {register}")
                await self._sleep(delay)

    async def _run_ballot(self, view: View, register: str, change: Change) -> AcceptedState | None:
        self._counter += 1
        ballot = Ballot(self._counter, self._name)
        promises = await self._prepare(view, register, ballot)
        if promises is None:
            return None
        newest = max(promises.states, key=lambda state: state.ballot)
        current = RegisterContent(newest.number, newest.value, newest.orders)
        proposed = change(current)
        # A majority that accepted the value under one ballot needs no second phase.
        # A copy made below a higher promise does not count as accepted.
        is_accepted_by_majority = all(
            state.ballot == newest.ballot and state.promised <= state.ballot
            for state in promises.states
        )
        if proposed == current and is_accepted_by_majority:
            return newest
        call = messages_pb2.StoreCall(
            kind=CallKind.ACCEPT,
            view=view.pack(),
            register=register,
            ballot=ballot.pack(),
            number=proposed.number,
            value=proposed.value,
            orders=proposed.orders,
            lives=promises.generations,
        )
        answers = await self._collect_answers(list(promises.generations), call, view.majority)
        if len(answers) < view.majority:
            return None
        return AcceptedState(NO_BALLOT, ballot, *proposed)

    async def _prepare(self, view: View, register: str, ballot: Ballot) -> _Promises | None:
        call = messages_pb2.StoreCall(
            kind=CallKind.PREPARE, view=view.pack(), register=register, ballot=ballot.pack()
        )
        answers = _drop_lost_promises(
            await self._collect_answers(list(view.members), call, view.majority)
        )
        if len(answers) < view.majority:
            return None
        return _Promises(
            {peer: answer.life for peer, answer in answers.items()},
            [read_accepted_state(answer.accepted[0]) for answer in answers.values()],
        )

    async def _collect_answers(
        self,
        peers: list[str],
        call: messages_pb2.StoreCall,
        quorum: int,
    ) -> dict[str, messages_pb2.StoreAnswer]:
        """Returns the agreeing answers, once they are enough or can no longer be."""
        loop = asyncio.get_running_loop()
        tasks = {loop.create_task(self._peers.call(peer, call)): peer for peer in peers}
        agreed: dict[str, messages_pb2.StoreAnswer] = {}
        pending = set(tasks)
        end = self._clock() + _PHASE_TIMEOUT_SECONDS
        while pending and len(agreed) < quorum and len(agreed) + len(pending) >= quorum:
            remaining = end - self._clock()
            if remaining <= 0:
                break
            done, pending = await asyncio.wait(
                pending, timeout=remaining, return_when=asyncio.FIRST_COMPLETED
            )
            # Processed in the order of peers, so that simulated runs are reproducible.
            for task, peer in tasks.items():
                if task in done:
                    self._process_answer(peer, task, agreed)
        # The remaining calls go on: each that arrives makes one more copy.
        for task in pending:
            task.add_done_callback(_retrieve_exception)
        return agreed

    def _process_answer(
        self,
        peer: str,
        task: asyncio.Task[messages_pb2.StoreAnswer],
        agreed: dict[str, messages_pb2.StoreAnswer],
    ) -> None:
        if task.exception() is not None:
            return
        answer = task.result()
        if answer.agreed:
            agreed[peer] = answer
            return
        self._counter = max(self._counter, answer.promised.counter)
        if answer.view:
            self._peers.learn_view(read_view(answer.view))


def _drop_lost_promises(
    answers: dict[str, messages_pb2.StoreAnswer],
) -> dict[str, messages_pb2.StoreAnswer]:
    """Drops the promises that were lost with a disk, according to the other answers.

    A store that lost its disk has read from a member of every majority. Either
    that member promised before, and the store knows the ballot, or the member's
    answer names the later generation of the store.
    """
    known: dict[str, str] = {}
    for answer in answers.values():
        for member, generation in answer.lives.items():
            known[member] = later_generation(generation, known.get(member, NO_GENERATION))
    return {
        peer: answer
        for peer, answer in answers.items()
        if not is_superseded(answer.life, known.get(peer, NO_GENERATION))
    }


def _retrieve_exception(task: asyncio.Task[messages_pb2.StoreAnswer]) -> None:
    # Otherwise asyncio logs that the exception was never retrieved.
    if not task.cancelled():
        task.exception()
