"""The Paxos proposer: changes a register by a ballot over a majority of the view."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.ballot_phase import BallotPhase
from marblefold.register_store.ballots import NO_BALLOT, AcceptedState, Ballot, read_accepted_state
from marblefold.register_store.changes import Change, RegisterContent
from marblefold.register_store.concurrent_calls import PeerCaller
from marblefold.register_store.generations import NO_GENERATION, is_superseded, later_generation
from marblefold.register_store.peer_call_kinds import CallKind
from marblefold.register_store.register_statistics import BallotResult, RegisterStatistics
from marblefold.register_store.view import View

__all__ = ["Proposer"]

_MIN_RETRY_DELAY_SECONDS = 0.005
# The first retry comes soon: the promise that was in the way may be an old one. With each
# further one the range doubles, so that one of several proposers gets through.
_FIRST_RETRY_DELAY_SECONDS = 0.04
_MAX_RETRY_DELAY_SECONDS = 0.08


class _BallotEnd(NamedTuple):
    """How a ballot ended, and the state that a majority holds if it was won."""

    result: BallotResult
    state: AcceptedState | None = None


class _Request:
    """A change that a caller waits for, and what a majority held after the ballot with it."""

    def __init__(self, change: Change) -> None:
        self.change = change
        self.state: AcceptedState | None = None


class _RegisterQueue:
    """The changes of one register that wait for a ballot; one ballot runs at a time."""

    def __init__(self) -> None:
        self.lock = asyncio.Lock()
        self.waiting: list[_Request] = []


class Proposer:
    """Proposes changes; those of one register that wait at the same time share a ballot."""

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
        self.statistics = RegisterStatistics()
        self._counter = 0
        self._queues: dict[str, _RegisterQueue] = {}

    async def change(self, register: str, change: Change, seconds: float) -> AcceptedState:
        """Applies the change and returns the state that a majority accepted.

        Other changes that waited for the same ballot may be part of that state.
        seconds: how long to retry; at least one ballot is run.
        Raises a MeshError if no majority answers in time, or no view is known.
        """
        asked_at = self._clock()
        queue = self._queues.setdefault(register, _RegisterQueue())
        request = _Request(change)
        queue.waiting.append(request)
        try:
            # Concurrent ballots of one proposer would only outbid each other.
            async with queue.lock:
                self.statistics.note_wait(self._clock() - asked_at)
                # Otherwise the ballot of the caller before included this change.
                if request.state is None:
                    request.state = await self._propose(register, queue, asked_at + seconds)
        finally:
            if request in queue.waiting:
                queue.waiting.remove(request)
        return request.state

    async def _propose(self, register: str, queue: _RegisterQueue, end: float) -> AcceptedState:
        """Runs ballots with all changes that wait, until one is won or the time is up."""
        longest_delay = _FIRST_RETRY_DELAY_SECONDS
        while True:
            view = self._peers.current_view()
            if view is None:
                raise MeshError("propose", "no view known")
            began_at = self._clock()
            requests = list(queue.waiting)
            result, state = await self._run_ballot(view, register, _combine(requests))
            self.statistics.count_ballot(register, result, self._clock() - began_at)
            if state is not None:
                for request in requests:
                    request.state = state
                queue.waiting = [each for each in queue.waiting if each.state is None]
                return state
            delay = random.uniform(_MIN_RETRY_DELAY_SECONDS, longest_delay)
            longest_delay = min(2.0 * longest_delay, _MAX_RETRY_DELAY_SECONDS)
            if self._clock() + delay >= end:
                raise MeshError("propose", f"no majority for {register}: {result}")
            await self._sleep(delay)

    async def _run_ballot(self, view: View, register: str, change: Change) -> _BallotEnd:
        self._counter += 1
        ballot = Ballot(self._counter, self._name)
        prepare = await self._run_phase(
            view,
            list(view.members),
            messages_pb2.StoreCall(
                kind=CallKind.PREPARE, view=view.pack(), register=register, ballot=ballot.pack()
            ),
        )
        promises = _drop_lost_promises(prepare.agreed)
        if len(promises) < view.majority:
            return _BallotEnd(
                BallotResult.OUTBID_IN_PREPARE
                if prepare.was_outbid
                else BallotResult.NO_MAJORITY_IN_PREPARE
            )
        states = [read_accepted_state(answer.accepted[0]) for answer in promises.values()]
        newest = max(states, key=lambda state: state.ballot)
        current = RegisterContent(newest.number, newest.value, newest.orders)
        proposed = change(current)
        # A majority that accepted the value under one ballot needs no second phase.
        # A copy made below a higher promise does not count as accepted.
        is_accepted_by_majority = all(
            state.ballot == newest.ballot and state.promised <= state.ballot for state in states
        )
        if proposed == current and is_accepted_by_majority:
            return _BallotEnd(BallotResult.UNCHANGED, newest)
        accept = await self._run_phase(
            view,
            list(promises),
            messages_pb2.StoreCall(
                kind=CallKind.ACCEPT,
                view=view.pack(),
                register=register,
                ballot=ballot.pack(),
                number=proposed.number,
                value=proposed.value,
                orders=proposed.orders,
                lives={peer: answer.life for peer, answer in promises.items()},
            ),
        )
        if len(accept.agreed) < view.majority:
            return _BallotEnd(
                BallotResult.OUTBID_IN_ACCEPT
                if accept.was_outbid
                else BallotResult.NO_MAJORITY_IN_ACCEPT
            )
        return _BallotEnd(BallotResult.CHOSEN, AcceptedState(NO_BALLOT, ballot, *proposed))

    async def _run_phase(
        self, view: View, names: list[str], call: messages_pb2.StoreCall
    ) -> BallotPhase:
        phase = BallotPhase(self._peers, view.majority, self._clock)
        await phase.run(names, call)
        self._counter = max(self._counter, phase.promised_counter)
        return phase


def _combine(requests: list[_Request]) -> Change:
    """The changes one after the other.

    A change that is fenced by a number names one that was chosen before it was asked for, so
    at most one of them takes effect in a ballot: the state after all of them tells each
    caller as much as the state after its own.
    """

    def change(content: RegisterContent) -> RegisterContent:
        for request in requests:
            content = request.change(content)
        return content

    return change


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
