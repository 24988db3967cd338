"""Reads of a register from a majority of the stores: without a ballot, and without a write.

A read asks the members of the view for what they accepted. If a majority names the same
ballot, its value is chosen, and it is no older than any change acknowledged before the read
began: that change and this majority have a member in common, which accepted the change
before it answered, so it names that ballot or a later one. A store that lost its disk
answers only after its recovery, which has read every acknowledged change; a copy whose
recovery met a higher promise proves nothing and is not counted (`Acceptor.describe`).

Reads promise nothing, so they never outbid a change or each other.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.acceptor import Acceptor
from marblefold.register_store.ballots import (
    NO_ACCEPTED_STATE,
    AcceptedState,
    Ballot,
    read_accepted_state,
)
from marblefold.register_store.concurrent_calls import (
    ConcurrentCalls,
    PeerCaller,
)
from marblefold.register_store.peer_call_kinds import CallKind
from marblefold.register_store.phase_deadline import PhaseDeadline
from marblefold.register_store.register_statistics import ReadResult, RegisterStatistics
from marblefold.register_store.store_timing import StoreTiming
from marblefold.register_store.view import View, read_view

__all__ = ["QuorumReader", "SharedReads"]

# A change that is under way becomes visible at a majority within a few such pauses.
_MAX_ROUNDS = 4
_ROUND_PAUSE_RANGE_SECONDS = (0.005, 0.03)


class QuorumReader:
    """Reads registers for one store."""

    def __init__(
        self,
        acceptor: Acceptor,
        peers: PeerCaller,
        statistics: RegisterStatistics,
        timing: StoreTiming,
    ) -> None:
        self._acceptor = acceptor
        self._peers = peers
        self._statistics = statistics
        self._timing = timing

    async def read(self, register: str) -> AcceptedState | None:
        """Returns the chosen state, or None if no majority agrees within a few rounds.

        Raises a MeshError if no view is known.
        """
        for number in range(_MAX_ROUNDS):
            if number:
                await self._timing.sleep(self._timing.uniform(*_ROUND_PAUSE_RANGE_SECONDS))
            view = self._peers.current_view()
            if view is None:
                raise MeshError("read", "no view known")
            began_at = self._timing.clock()
            round_ = _ReadRound(self._acceptor, self._peers, self._timing, register, view)
            await round_.run()
            seconds = self._timing.clock() - began_at
            self._statistics.count_read(register, round_.result, seconds)
            if round_.chosen is not None:
                return round_.chosen
            if round_.result is ReadResult.NO_MAJORITY and self._peers.current_view() == view:
                return None
        return None


class _ReadRound:
    """One call to all members."""

    def __init__(
        self,
        acceptor: Acceptor,
        peers: PeerCaller,
        timing: StoreTiming,
        register: str,
        view: View,
    ) -> None:
        self.chosen: AcceptedState | None = None
        self.result = ReadResult.NO_MAJORITY
        self._peers = peers
        self._timing = timing
        self._register = register
        self._view = view
        # Stores send the value only if it is not the one of this ballot.
        self._local = acceptor.accepted_states.get(register, NO_ACCEPTED_STATE)
        self._states = {self._local.ballot: self._local}
        self._votes: Counter[Ballot] = Counter()
        self._answered = 0

    async def run(self) -> None:
        """Sets `chosen` and `result`."""
        call = messages_pb2.StoreCall(
            kind=CallKind.STATE,
            view=self._view.pack(),
            register=self._register,
            ballot=self._local.ballot.pack(),
        )
        calls = ConcurrentCalls(self._peers, dict.fromkeys(self._view.members, call))
        deadline = PhaseDeadline(self._timing.clock)
        while self.chosen is None and self._may_agree(calls.pending_count):
            remaining = deadline.remaining_seconds()
            if remaining <= 0:
                return
            for reply in await calls.next_replies(remaining):
                if reply.answer is not None:
                    self._take_answer(reply.answer)
            if self._answered >= self._view.majority:
                # The rest may be down.
                deadline.expect_end()

    def _may_agree(self, pending_count: int) -> bool:
        most = max(self._votes.values(), default=0)
        return pending_count > 0 and most + pending_count >= self._view.majority

    def _take_answer(self, answer: messages_pb2.StoreAnswer) -> None:
        if not answer.agreed:
            if answer.view:
                self._peers.learn_view(read_view(answer.view))
            return
        self._answered += 1
        if self._answered >= self._view.majority and self.chosen is None:
            self.result = ReadResult.DISAGREED
        state = read_accepted_state(answer.accepted[0])
        if state.promised > state.ballot:
            return
        self._states.setdefault(state.ballot, state)
        self._votes[state.ballot] += 1
        if self._votes[state.ballot] == self._view.majority:
            self.chosen = self._states[state.ballot]
            self.result = ReadResult.AGREED


class _SharedRead:
    """A read that has not begun; all callers that ask meanwhile share its result."""

    def __init__(self) -> None:
        self.state: AcceptedState | None = None
        self.error: MeshError | None = None


class SharedReads:
    """Lets callers that ask for the same register share a read that begins after they asked."""

    def __init__(self, read: Callable[[str], Awaitable[AcceptedState]]) -> None:
        self._read = read
        self._locks: dict[str, asyncio.Lock] = {}
        self._next: dict[str, _SharedRead] = {}

    async def read(self, register: str) -> AcceptedState:
        """Returns the result of a read that begins now, or as soon as the running one has ended.

        Raises the MeshError of that read.
        """
        shared = self._next.setdefault(register, _SharedRead())
        async with self._locks.setdefault(register, asyncio.Lock()):
            if shared.state is None and shared.error is None:
                await self._run(register, shared)
        if shared.error is not None:
            raise shared.error
        assert shared.state is not None
        return shared.state

    async def _run(self, register: str, shared: _SharedRead) -> None:
        # Who asks from here on waits for the read after this one. If this caller gives up, the
        # next one that shares the read begins it anew.
        if self._next.get(register) is shared:
            del self._next[register]
        try:
            shared.state = await self._read(register)
        except MeshError as error:
            shared.error = error
