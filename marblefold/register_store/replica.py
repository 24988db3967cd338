"""One replica of the store: its background work, and its answers to the other stores."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.logs import log
from marblefold.register_store.acceptor import VIEW_REGISTER, Acceptor, VotingStatus
from marblefold.register_store.acceptor_writer import AcceptorWriter, InlineWriter
from marblefold.register_store.anti_entropy import AntiEntropy, answer_comparison
from marblefold.register_store.ballots import NO_ACCEPTED_STATE, AcceptedState, Ballot
from marblefold.register_store.chosen_registers import ChosenRegisters
from marblefold.register_store.member_changes import MemberChanges
from marblefold.register_store.peer_call_kinds import CallKind, Refusal
from marblefold.register_store.peer_calls import (
    StorePeers,
    answer_call,
    answer_call_beside_reads,
)
from marblefold.register_store.proposer import Proposer
from marblefold.register_store.recovery import Recovery
from marblefold.register_store.replicated_registers import ReplicatedRegisters
from marblefold.register_store.store_timing import REAL_TIMING, StoreTiming

__all__ = ["Replica"]

_ROUND_INTERVAL_SECONDS = 0.3


class Replica:
    """Recovers, reconciles and compares the registers, and changes the members, in rounds."""

    def __init__(
        self,
        acceptor: Acceptor,
        peers: StorePeers,
        proposer: Proposer,
        chosen: ChosenRegisters,
        seeds: list[str],
        machine_losses: int = 1,
        timing: StoreTiming = REAL_TIMING,
        writer: AcceptorWriter | None = None,
    ) -> None:
        self._acceptor = acceptor
        self._peers = peers
        self._chosen = chosen
        self._timing = timing
        self._writer = writer or InlineWriter()
        self._anti_entropy = AntiEntropy(acceptor, chosen, self._ask_all, timing, self._writer)
        self.registers = ReplicatedRegisters(acceptor, proposer, peers, self._anti_entropy, timing)
        self._recovery = Recovery(acceptor, peers, seeds, timing)
        self._members = MemberChanges(acceptor, peers, self.registers, machine_losses, timing)
        self._unreconciled: set[str] | None = None
        # Ballots accepted here but not known to be chosen, as of the previous round.
        self._unconfirmed: dict[str, Ballot] = {}

    async def run(self) -> None:
        """Runs recovery with member changes, and anti-entropy, in two independent loops.

        Neither waits for the other: a store that finds no majority in an old view
        learns the newer one by anti-entropy, and unreachable stores, for which
        anti-entropy waits, delay no change of members.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._repeat(self._act))
            group.create_task(self._repeat(self._compare))

    async def _repeat(self, step: Callable[[], Awaitable[None]]) -> None:
        """Runs the step in rounds without end; a failed round is logged and repeated."""
        while True:
            self._writer.wait_while_hung()
            try:
                await step()
            except MeshError as error:
                log.info(
                    "background round failed; retrying",
                    step=error.step,
                    peer=error.peer,
                    reason=error.reason,
                )
            await self._timing.sleep(_ROUND_INTERVAL_SECONDS * self._timing.uniform(0.8, 1.2))

    async def hand_over(self, seconds: float) -> None:
        """Replaces this store by one that waits to join, if any, before a planned stop.

        seconds: the time after which no further attempt starts.
        """
        await self._members.hand_over(seconds)

    def learn_chosen(self, register: str, state: AcceptedState) -> None:
        """Stores a state that is known to be chosen."""
        self._writer.wait_while_hung()
        self.registers.learn_chosen(register, state)

    def answer(self, call: messages_pb2.StoreCall) -> messages_pb2.StoreAnswer:
        """Returns the answer to another store's call of any kind, once it is durable."""
        self._peers.record_contact(call.sender)
        answer = answer_call(self._acceptor, call)
        return answer if answer is not None else self._answer_from_memory(call)

    async def answer_beside_reads(self, call: messages_pb2.StoreCall) -> messages_pb2.StoreAnswer:
        """As `answer`, but other calls are answered while this one waits for the disk."""
        self._writer.wait_while_hung()
        self._peers.record_contact(call.sender)
        answer = await answer_call_beside_reads(self._acceptor, self._writer, call)
        return answer if answer is not None else self._answer_from_memory(call)

    def _answer_from_memory(self, call: messages_pb2.StoreCall) -> messages_pb2.StoreAnswer:
        view = self._acceptor.pack_view()
        if call.kind == CallKind.COMPARE:
            return answer_comparison(self._chosen, call, view)
        if call.kind == CallKind.OPINION:
            return messages_pb2.StoreAnswer(
                agreed=self._members.agrees_to_change(call.register), view=view
            )
        if call.kind == CallKind.JOIN:
            self._members.add_waiting_store(call.sender)
            return messages_pb2.StoreAnswer(view=view, reason=Refusal.WAIT)
        return messages_pb2.StoreAnswer(view=view, reason=Refusal.UNKNOWN_CALL)

    async def _act(self) -> None:
        acceptor = self._acceptor
        if acceptor.voting_status is VotingStatus.READING and not self._members.is_leaving:
            if await self._recovery.read():
                self._unreconciled = None
        if acceptor.voting_status is VotingStatus.VOTING:
            if acceptor.has_pending_view:
                await self.registers.reconcile(VIEW_REGISTER)
            self._note_unconfirmed()
            await self._reconcile_after_start()
            await self._members.start_next_change()

    async def _reconcile_after_start(self) -> None:
        """After a start, determines which of the states accepted here are chosen."""
        if self._unreconciled is None:
            self._unreconciled = set(self._acceptor.accepted_states)
        if self._unreconciled:
            # A state that a peer knows to be chosen needs no ballot here.
            with contextlib.suppress(MeshError):
                await self._compare()
        # In random order, so that the members do not all propose for the same register.
        for register in sorted(
            self._unreconciled, key=lambda _register: self._timing.uniform(0, 1)
        ):
            if not self._anti_entropy.is_known_chosen(register):
                await self.registers.reconcile(register)
            self._unreconciled.discard(register)

    def _note_unconfirmed(self) -> None:
        """Marks states accepted a round ago and still not known to be chosen for reconciling.

        They may be chosen: the proposer announces that only once, and if it failed
        just then, no other store knows.
        """
        unconfirmed = {
            register: state.ballot
            for register, state in self._acceptor.accepted_states.copy().items()
            if register != VIEW_REGISTER
            and state.ballot > self._chosen.states.get(register, NO_ACCEPTED_STATE).ballot
        }
        if self._unreconciled is not None:
            self._unreconciled |= {
                register for register, _ in unconfirmed.items() & self._unconfirmed.items()
            }
        self._unconfirmed = unconfirmed

    async def _compare(self) -> None:
        """Runs a round of anti-entropy with the other stores."""
        if self._acceptor.view is not None:
            await self._anti_entropy.run_round(self._recovery.known_stores())

    async def _ask_all(
        self,
        peers: list[str],
        call: messages_pb2.StoreCall,
    ) -> dict[str, messages_pb2.StoreAnswer]:
        """Calls all peers named; returns the answers by peer, of those that answered."""
        results = await asyncio.gather(
            *(
                self._peers.call(peer, messages_pb2.StoreCall.FromString(call.SerializeToString()))
                for peer in peers
            ),
            return_exceptions=True,
        )
        answers = {}
        for peer, result in zip(peers, results, strict=True):
            if isinstance(result, MeshError):
                continue
            if isinstance(result, BaseException):
                raise result
            answers[peer] = result
        return answers
