"""What a store does of its own accord: reads, settles, compares, changes members."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import kinds
from marblefold.logs import log
from marblefold.register_store.acceptor import VIEW_REGISTER, Acceptor, Standing
from marblefold.register_store.anti_entropy import AntiEntropy, answer_comparison
from marblefold.register_store.ballots import NO_ACCEPTED_STATE, AcceptedState, Ballot
from marblefold.register_store.chosen_registers import ChosenRegisters
from marblefold.register_store.member_changes import MemberChanges
from marblefold.register_store.peer_call_kinds import CallKind, Refusal
from marblefold.register_store.peer_calls import StorePeers, answer_call
from marblefold.register_store.proposer import Proposer
from marblefold.register_store.reconciliation import Reconciler
from marblefold.register_store.state_recovery import is_read_quorum
from marblefold.register_store.store_timing import REAL_TIMING, StoreTiming
from marblefold.register_store.view import read_view

__all__ = ["Replica"]

_ROUND_SECONDS = 0.3
# Newer views and lives may be learned several times over before a reading counts.
_READING_TRIES = 4


class Replica:
    """The rounds of one store, and its answers to the other stores."""

    def __init__(
        self,
        acceptor: Acceptor,
        peers: StorePeers,
        proposer: Proposer,
        chosen: ChosenRegisters,
        seeds: list[str],
        machine_losses: int = 1,
        timing: StoreTiming = REAL_TIMING,
    ) -> None:
        self._acceptor = acceptor
        self._peers = peers
        self._chosen = chosen
        self._seeds = seeds
        self._timing = timing
        self._anti_entropy = AntiEntropy(acceptor, chosen, self._ask_all, timing)
        self._reconciler = Reconciler(acceptor, proposer, peers, self._anti_entropy)
        self._members = MemberChanges(acceptor, peers, self._reconciler, machine_losses, timing)
        self._unsettled: set[str] | None = None
        # Accepted here, but not known to be chosen, as of the round before.
        self._unsure: dict[str, Ballot] = {}

    async def run(self) -> None:
        """Acts and compares for ever, each by itself.

        Neither waits for the other: a store that finds no majority in an old
        view learns the newer one by comparing, and stores out of reach, which
        comparing waits for, delay no change of members.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._repeat(self._act))
            group.create_task(self._repeat(self._compare))

    async def _repeat(self, step: Callable[[], Awaitable[None]]) -> None:
        """Makes rounds of the step for ever; one that fails is made again."""
        while True:
            try:
                await step()
            except MeshError as error:
                log.info("round", step=error.step, peer=error.peer, reason=error.reason)
            await self._timing.sleep(_ROUND_SECONDS * self._timing.uniform(0.8, 1.2))

    async def hand_over(self, seconds: float) -> None:
        """Before a planned end: gives our place to a store that waits, if one does.

        seconds: no try begins later than that.
        """
        await self._members.hand_over(seconds)

    def learn_chosen(self, register: str, holding: AcceptedState) -> None:
        """Takes in a holding that is known to be chosen."""
        self._reconciler.learn_chosen(register, holding)

    def answer(self, call: kinds.StoreCall) -> kinds.StoreAnswer:
        """The answer to another store's call of any kind."""
        self._peers.record_contact(call.sender)
        answer = answer_call(self._acceptor, call)
        if answer is not None:
            return answer
        view = self._acceptor.pack_view()
        if call.kind == CallKind.COMPARE:
            return answer_comparison(self._chosen, call, view)
        if call.kind == CallKind.OPINION:
            return kinds.StoreAnswer(
                agreed=self._members.agrees_to_change(call.register), view=view
            )
        if call.kind == CallKind.JOIN:
            self._members.add_waiting_store(call.sender)
            return kinds.StoreAnswer(view=view, reason=Refusal.WAIT)
        return kinds.StoreAnswer(view=view, reason=Refusal.UNKNOWN_CALL)

    async def _act(self) -> None:
        acceptor = self._acceptor
        if acceptor.voting_status is Standing.READING and not self._members.is_leaving:
            await self._read()
        if acceptor.voting_status is Standing.VOTING:
            if acceptor.has_pending_view:
                await self._reconciler.reconcile(VIEW_REGISTER)
            self._note_unsure()
            await self._settle_after_start()
            await self._members.start_next_change()

    async def _read(self) -> None:
        """Reads all registers from enough others, then votes."""
        for _ in range(_READING_TRIES):
            acceptor = self._acceptor
            asked = (acceptor.view, acceptor.generation)
            kind = CallKind.READ if acceptor.is_member else CallKind.JOIN
            answers = await self._ask_all(
                self._known_stores(), kinds.StoreCall(kind=kind, view=acceptor.pack_view())
            )
            self._learn(answers)
            if (acceptor.view, acceptor.generation) != asked:
                # Asked under another view or life than ours is now: ask again.
                continue
            self._finish_reading(kind, answers)
            return

    def _learn(self, answers: dict[str, kinds.StoreAnswer]) -> None:
        """Takes in newer views, and a later life than ours that was noted for us."""
        acceptor = self._acceptor
        for answer in answers.values():
            if answer.view:
                acceptor.learn_view(read_view(answer.view))
        if acceptor.voting_status is Standing.READING:
            for answer in answers.values():
                acceptor.supersede_generation(answer.lives.get(acceptor.address, ""))

    def _finish_reading(self, kind: CallKind, answers: dict[str, kinds.StoreAnswer]) -> None:
        acceptor = self._acceptor
        if kind is not CallKind.READ or acceptor.voting_status is not Standing.READING:
            return
        agreed = {peer: answer for peer, answer in answers.items() if answer.agreed}
        view = acceptor.view
        if view is None or not is_read_quorum(
            view, acceptor.previous_view, acceptor.address, agreed
        ):
            return
        counted = {*view.members, *(acceptor.previous_view or view).members}
        acceptor.finish_reading([agreed[peer] for peer in agreed if peer in counted])
        self._unsettled = None
        log.info("reading done", registers=len(acceptor.accepted_states), view=view.number)

    def _known_stores(self) -> list[str]:
        """The members known, of the view before too, and the seeds.

        All of an old view may be gone, and who just left may still be read.
        """
        views = [view for view in (self._acceptor.view, self._acceptor.previous_view) if view]
        members = [peer for view in views for peer in view.members]
        known = dict.fromkeys([*members, *self._seeds])
        return [peer for peer in known if peer != self._acceptor.address]

    async def _settle_after_start(self) -> None:
        """After a start, finds out which of the registers held here are chosen."""
        if self._unsettled is None:
            self._unsettled = set(self._acceptor.accepted_states)
        if self._unsettled:
            # Whatever a peer knows to be chosen needs no ballot here.
            with contextlib.suppress(MeshError):
                await self._compare()
        # Each member in an order of its own, or all would try for the same one.
        for register in sorted(self._unsettled, key=lambda _register: self._timing.uniform(0, 1)):
            if not self._anti_entropy.is_known_chosen(register):
                await self._reconciler.reconcile(register)
            self._unsettled.discard(register)

    def _note_unsure(self) -> None:
        """What was accepted a round ago and is not yet known to be chosen may well be.

        Its proposer sends that once; if it was lost just then, nobody else knows.
        """
        unsure = {
            register: holding.ballot
            for register, holding in self._acceptor.accepted_states.items()
            if register != VIEW_REGISTER
            and holding.ballot > self._chosen.holdings.get(register, NO_ACCEPTED_STATE).ballot
        }
        if self._unsettled is not None:
            self._unsettled |= {register for register, _ in unsure.items() & self._unsure.items()}
        self._unsure = unsure

    async def _compare(self) -> None:
        """Compares with the other stores; whoever is behind takes what is newer."""
        if self._acceptor.view is not None:
            await self._anti_entropy.run_round(self._known_stores())

    async def _ask_all(
        self,
        peers: list[str],
        call: kinds.StoreCall,
    ) -> dict[str, kinds.StoreAnswer]:
        """The answers by peer, of those that answer."""
        results = await asyncio.gather(
            *(
                self._peers.call(peer, kinds.StoreCall.FromString(call.SerializeToString()))
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
