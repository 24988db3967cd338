"""Anti-entropy: brings a store that missed changes up to date with the others.

Each round a store sends every other member a 16-byte digest of all states that it
knows to be chosen. Only if a digest differs, the store sends its ballots to one
member, which answers with its newer states in several answers of bounded size.
"""

import asyncio
from collections.abc import Awaitable, Callable

from marblefold.errors import DiskError, MeshError
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.logs import log
from marblefold.register_store.acceptor import VIEW_REGISTER, Acceptor
from marblefold.register_store.acceptor_writer import AcceptorWriter, InlineWriter
from marblefold.register_store.ballots import (
    NO_ACCEPTED_STATE,
    AcceptedState,
    Ballot,
    read_accepted_state,
)
from marblefold.register_store.chosen_registers import ChosenRegisters
from marblefold.register_store.peer_call_kinds import CallKind
from marblefold.register_store.store_timing import REAL_TIMING, StoreTiming
from marblefold.register_store.view import read_view

__all__ = ["AntiEntropy", "answer_comparison"]

# Calls all peers named; returns the answers by peer, of those that answered.
AskAll = Callable[
    [list[str], messages_pb2.StoreCall], Awaitable[dict[str, messages_pb2.StoreAnswer]]
]


class AntiEntropy:
    """The anti-entropy of one store with its peers."""

    def __init__(
        self,
        acceptor: Acceptor,
        chosen: ChosenRegisters,
        ask_all: AskAll,
        timing: StoreTiming = REAL_TIMING,
        writer: AcceptorWriter | None = None,
    ) -> None:
        self._acceptor = acceptor
        self._chosen = chosen
        self._ask_all = ask_all
        self._timing = timing
        self._writer = writer or InlineWriter()

    async def run_round(self, others: list[str]) -> None:
        """Compares digests with the stores named, and catches up with one that differs."""
        call = messages_pb2.StoreCall(
            kind=CallKind.COMPARE,
            view=self._acceptor.pack_view(),
            value=self._chosen.digest(),
        )
        answers = await self._ask_all(others, call)
        for answer in answers.values():
            if answer.view:
                self._acceptor.learn_view(read_view(answer.view))
        differing = [peer for peer, answer in answers.items() if not answer.agreed]
        if differing:
            # One at a time: several would send the same states over one link.
            await self._catch_up(self._choose_peer(differing))
        self._store_copies()

    def learn_chosen(self, register: str, state: AcceptedState) -> bool:
        """Stores a state that is known to be chosen; returns whether it was new here."""
        if not state.value:
            return False
        # It is chosen even if the local disk fails, so watchers receive it first.
        was_new = self._chosen.put(register, state)
        self._store_copy_beside_reads(register, state)
        return was_new

    def is_known_chosen(self, register: str) -> bool:
        """Whether the state accepted here, or a newer one, is known to be chosen."""
        return self.knows_chosen(register, self._accepted_ballot(register))

    def knows_chosen(self, register: str, ballot: Ballot) -> bool:
        """Whether a state of this or a later ballot is known to be chosen."""
        known = self._chosen.states.get(register)
        return known is not None and ballot <= known.ballot

    def _choose_peer(self, peers: list[str]) -> str:
        return min(peers, key=lambda _peer: self._timing.uniform(0, 1))

    async def _catch_up(self, peer: str) -> None:
        """Fetches newer states until none is left; raises MeshError if an answer is missing."""
        is_behind = True
        while is_behind:
            call = messages_pb2.StoreCall(
                kind=CallKind.COMPARE,
                view=self._acceptor.pack_view(),
                chosen=self._chosen.ballots(),
            )
            answer = (await self._ask_all([peer], call)).get(peer)
            if answer is None:
                # The next round asks another peer, before anything is reconciled here.
                raise MeshError("compare", "no answer", peer)
            is_behind = await self._learn_all(answer)

    async def _learn_all(self, answer: messages_pb2.StoreAnswer) -> bool:
        was_new = False
        for message in answer.accepted:
            was_new |= self.learn_chosen(message.register, read_accepted_state(message))
            # Each state is a disk write: lets the calls of other stores be answered in between.
            await asyncio.sleep(0)
        return was_new

    def _store_copies(self) -> None:
        """Accepts the chosen states that the disk refused, or that arrived during recovery."""
        for register, state in list(self._chosen.states.items()):
            # The next round goes on: a slow disk is given no more than it takes.
            if self._writer.is_busy:
                return
            if state.ballot > self._accepted_ballot(register):
                self._store_copy_beside_reads(register, state)

    def _accepted_ballot(self, register: str) -> Ballot:
        return self._acceptor.accepted_states.get(register, NO_ACCEPTED_STATE).ballot

    def _store_copy_beside_reads(self, register: str, state: AcceptedState) -> None:
        if register == VIEW_REGISTER:
            # Here, since the view changes on the thread of the event loop only.
            self._store_copy(register, state)
        else:
            self._writer.submit(lambda: self._store_copy(register, state))

    def _store_copy(self, register: str, state: AcceptedState) -> None:
        try:
            self._acceptor.learn_chosen(register, state)
        except DiskError as error:
            log.warning("could not store a chosen register", register=register, reason=error.reason)


def answer_comparison(
    chosen: ChosenRegisters, call: messages_pb2.StoreCall, view: bytes
) -> messages_pb2.StoreAnswer:
    """Answers a digest with whether it matches, and ballots with the newer states.

    The answer includes the view if the caller sent another one.
    """
    if call.view == view:
        view = b""
    if call.value:
        return messages_pb2.StoreAnswer(agreed=call.value == chosen.digest(), view=view)
    accepted = chosen.newer_than(list(call.chosen))
    return messages_pb2.StoreAnswer(agreed=True, view=view, accepted=accepted)
