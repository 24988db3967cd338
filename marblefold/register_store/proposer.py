"""Changes a register by ballot over a majority of the view."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import kinds
from marblefold.register_store.ballots import NO_BALLOT, AcceptedState, Ballot, read_accepted_state
from marblefold.register_store.changes import Change, Held
from marblefold.register_store.generations import NO_GENERATION, is_superseded, later_generation
from marblefold.register_store.peer_call_kinds import CallKind
from marblefold.register_store.view import View, read_view

__all__ = ["PeerCaller", "Proposer"]

_PHASE_TIMEOUT_SECONDS = 0.7
_PAUSE_SECONDS = (0.005, 0.04)


class PeerCaller(Protocol):
    """How a proposer reaches the acceptors, its own among them."""

    async def call(self, peer: str, call: kinds.StoreCall) -> kinds.StoreAnswer: ...

    def learn_view(self, view: View) -> None: ...

    def current_view(self) -> View | None: ...


class _Promises(NamedTuple):
    """What a majority promised: their lives and what they hold."""

    lives: dict[str, str]
    holdings: list[AcceptedState]


class Proposer:
    """Proposes changes one after the other for each register."""

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
        self._turns: dict[str, asyncio.Lock] = {}

    async def change(self, register: str, change: Change, seconds: float) -> AcceptedState:
        """What a majority holds after the change.

        seconds: how long it is tried, at least once.
        Raises a MeshError if no majority answers in time, or no view is known.
        """
        end = self._clock() + seconds
        turn = self._turns.setdefault(register, asyncio.Lock())
        # Two changes of our own would only outbid each other.
        async with turn:
            while True:
                view = self._peers.current_view()
                if view is None:
                    raise MeshError("propose", "no view known")
                held = await self._try(view, register, change)
                if held is not None:
                    return held
                pause = random.uniform(*_PAUSE_SECONDS)
                if self._clock() + pause >= end:
                    raise MeshError("propose", f"no majority for {register}")
                await self._sleep(pause)

    async def _try(self, view: View, register: str, change: Change) -> AcceptedState | None:
        self._counter += 1
        ballot = Ballot(self._counter, self._name)
        promises = await self._prepare(view, register, ballot)
        if promises is None:
            return None
        newest = max(promises.holdings, key=lambda holding: holding.ballot)
        held = Held(newest.number, newest.value, newest.orders)
        wanted = change(held)
        # Held by a whole majority under one ballot already: nothing to settle.
        # One that was copied below a promise is no acceptance that counts.
        is_settled = all(
            holding.ballot == newest.ballot and holding.promised <= holding.ballot
            for holding in promises.holdings
        )
        if wanted == held and is_settled:
            return newest
        call = kinds.StoreCall(
            kind=CallKind.ACCEPT,
            view=view.pack(),
            register=register,
            ballot=ballot.pack(),
            number=wanted.number,
            value=wanted.value,
            orders=wanted.orders,
            lives=promises.lives,
        )
        answers = await self._ask(list(promises.lives), call, view.majority)
        if len(answers) < view.majority:
            return None
        return AcceptedState(NO_BALLOT, ballot, *wanted)

    async def _prepare(self, view: View, register: str, ballot: Ballot) -> _Promises | None:
        call = kinds.StoreCall(
            kind=CallKind.PREPARE, view=view.pack(), register=register, ballot=ballot.pack()
        )
        answers = _drop_lost_promises(await self._ask(list(view.members), call, view.majority))
        if len(answers) < view.majority:
            return None
        return _Promises(
            {peer: answer.life for peer, answer in answers.items()},
            [read_accepted_state(answer.accepted[0]) for answer in answers.values()],
        )

    async def _ask(
        self,
        peers: list[str],
        call: kinds.StoreCall,
        enough: int,
    ) -> dict[str, kinds.StoreAnswer]:
        """The agreeing answers, as soon as they are enough or cannot be."""
        loop = asyncio.get_running_loop()
        tasks = {loop.create_task(self._peers.call(peer, call)): peer for peer in peers}
        agreed: dict[str, kinds.StoreAnswer] = {}
        pending = set(tasks)
        end = self._clock() + _PHASE_TIMEOUT_SECONDS
        while pending and len(agreed) < enough and len(agreed) + len(pending) >= enough:
            left = end - self._clock()
            if left <= 0:
                break
            done, pending = await asyncio.wait(
                pending, timeout=left, return_when=asyncio.FIRST_COMPLETED
            )
            # In the order of peers, so that a test repeats itself.
            for task, peer in tasks.items():
                if task in done:
                    self._sort(peer, task, agreed)
        # The others still get to hold it: theirs is a copy more.
        for task in pending:
            task.add_done_callback(_forget)
        return agreed

    def _sort(
        self,
        peer: str,
        task: asyncio.Task[kinds.StoreAnswer],
        agreed: dict[str, kinds.StoreAnswer],
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


def _drop_lost_promises(answers: dict[str, kinds.StoreAnswer]) -> dict[str, kinds.StoreAnswer]:
    """Without the promises that were lost with a disk, as another one shows.

    Whoever lost its disk has read some member of every majority: either that
    one promised first, and the reader knows the ballot, or its answer names
    the reader's later life.
    """
    known: dict[str, str] = {}
    for answer in answers.values():
        for member, life in answer.lives.items():
            known[member] = later_generation(life, known.get(member, NO_GENERATION))
    return {
        peer: answer
        for peer, answer in answers.items()
        if not is_superseded(answer.life, known.get(peer, NO_GENERATION))
    }


def _forget(task: asyncio.Task[kinds.StoreAnswer]) -> None:
    if not task.cancelled():
        task.exception()
