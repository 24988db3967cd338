"""Reads and changes registers for one store, and distributes what is found to be chosen."""

import asyncio

from marblefold.errors import MeshError
from marblefold.register_store.acceptor import Acceptor
from marblefold.register_store.anti_entropy import AntiEntropy
from marblefold.register_store.ballots import NO_ACCEPTED_STATE, AcceptedState
from marblefold.register_store.changes import Change, leave_unchanged
from marblefold.register_store.peer_calls import StorePeers
from marblefold.register_store.proposer import Proposer
from marblefold.register_store.quorum_read import QuorumReader, SharedReads
from marblefold.register_store.register_statistics import ReadResult
from marblefold.register_store.store_timing import StoreTiming

__all__ = ["ReplicatedRegisters"]

_CHANGE_TIMEOUT_SECONDS = 1.3
_READ_TIMEOUT_SECONDS = 1.3


class ReplicatedRegisters:
    """The registers as a majority of the stores holds them."""

    def __init__(
        self,
        acceptor: Acceptor,
        proposer: Proposer,
        peers: StorePeers,
        anti_entropy: AntiEntropy,
        timing: StoreTiming,
    ) -> None:
        self._acceptor = acceptor
        self._proposer = proposer
        self._peers = peers
        self._anti_entropy = anti_entropy
        self._timing = timing
        self._reader = QuorumReader(acceptor, peers, proposer.statistics, timing)
        self._shared_reads = SharedReads(self._read)

    async def read(self, register: str) -> AcceptedState:
        """Returns what is chosen, no older than any change acknowledged before the call.

        Raises a MeshError if no majority answers in time.
        """
        try:
            async with asyncio.timeout(_READ_TIMEOUT_SECONDS):
                return await self._shared_reads.read(register)
        except TimeoutError:
            raise MeshError("read", f"no majority for {register} in time") from None

    async def change(self, register: str, change: Change) -> AcceptedState:
        """Applies the change, then stores the chosen state here and sends it to the members.

        Raises a MeshError if no majority answers in time.
        """
        state = await self._proposer.change(register, change, _CHANGE_TIMEOUT_SECONDS)
        was_new = self.learn_chosen(register, state)
        view = self._acceptor.view
        if was_new and view is not None:
            for member in view.members:
                if member != self._acceptor.address:
                    self._peers.notify_chosen(member, register, state)
        return state

    async def reconcile(self, register: str) -> None:
        """Decides whether the state accepted here is chosen; a majority holds it, or a later one.

        While operators change the register all the time, a read may find no moment of agreement,
        but what they had acknowledged decides it as well.
        Raises a MeshError if no majority answers in time.
        """
        accepted = self._acceptor.accepted_states.get(register, NO_ACCEPTED_STATE)
        if self._anti_entropy.knows_chosen(register, accepted.ballot):
            return
        try:
            state = await self.read(register)
        except MeshError:
            if self._anti_entropy.knows_chosen(register, accepted.ballot):
                return
            raise
        # A minority holds it, which a read may leave undecided.
        if state.ballot < accepted.ballot:
            await self.change(register, leave_unchanged)

    async def reconcile_all(self) -> None:
        """Reconciles every register known here; raises MeshError if one fails."""
        for register in list(self._acceptor.accepted_states):
            await self.reconcile(register)

    def learn_chosen(self, register: str, state: AcceptedState) -> bool:
        """Stores a state that is known to be chosen; returns whether it was new here."""
        return self._anti_entropy.learn_chosen(register, state)

    async def _read(self, register: str) -> AcceptedState:
        state = await self._reader.read(register)
        if state is not None:
            self.learn_chosen(register, state)
            return state
        began_at = self._timing.clock()
        state = await self.change(register, leave_unchanged)
        seconds = self._timing.clock() - began_at
        self._proposer.statistics.count_read(register, ReadResult.BY_BALLOT, seconds)
        return state
