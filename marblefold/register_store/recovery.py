"""The recovery of a store that may have lost its disk, or that joins: it reads from the others."""

from marblefold.inner_protocol.messages import messages_pb2
from marblefold.logs import log
from marblefold.register_store.acceptor import Acceptor, VotingStatus
from marblefold.register_store.concurrent_calls import ConcurrentCalls
from marblefold.register_store.peer_call_kinds import CallKind
from marblefold.register_store.peer_calls import StorePeers
from marblefold.register_store.phase_deadline import PhaseDeadline
from marblefold.register_store.state_recovery import is_read_quorum
from marblefold.register_store.store_timing import StoreTiming
from marblefold.register_store.view import read_view

__all__ = ["Recovery"]

# Each attempt may learn of a newer view or generation, which invalidates its answers.
_MAX_READ_ATTEMPTS = 4
_TIMEOUT_SECONDS = 1.0


class Recovery:
    """Reads the registers of one store from the others, or asks them to let it join."""

    def __init__(
        self, acceptor: Acceptor, peers: StorePeers, seeds: list[str], timing: StoreTiming
    ) -> None:
        self._acceptor = acceptor
        self._peers = peers
        self._seeds = seeds
        self._timing = timing

    async def read(self) -> bool:
        """Reads all registers from a read quorum; returns whether this store votes from now on."""
        for _ in range(_MAX_READ_ATTEMPTS):
            acceptor = self._acceptor
            sent_with = (acceptor.view, acceptor.generation)
            kind = CallKind.READ if acceptor.is_member else CallKind.JOIN
            answers = await self._ask_all(kind)
            self._learn_from_answers(answers)
            if (acceptor.view, acceptor.generation) != sent_with:
                # The view or generation changed since the calls were sent: ask again.
                continue
            return self._finish(kind, answers)
        return False

    async def _ask_all(self, kind: CallKind) -> dict[str, messages_pb2.StoreAnswer]:
        """Calls all known stores; waits for those that are down only while they may matter."""
        view = self._acceptor.pack_view()
        calls = ConcurrentCalls(
            self._peers,
            {peer: messages_pb2.StoreCall(kind=kind, view=view) for peer in self.known_stores()},
        )
        deadline = PhaseDeadline(self._timing.clock, _TIMEOUT_SECONDS)
        answers: dict[str, messages_pb2.StoreAnswer] = {}
        while calls.pending_count and (remaining := deadline.remaining_seconds()) > 0:
            for reply in await calls.next_replies(remaining):
                if reply.answer is not None:
                    answers[reply.peer] = reply.answer
            if self._may_go_on(kind, answers):
                deadline.expect_end()
        return answers

    def _may_go_on(self, kind: CallKind, answers: dict[str, messages_pb2.StoreAnswer]) -> bool:
        """Whether the answers are enough to vote, or call for another attempt."""
        if kind is CallKind.READ:
            return self._is_quorum(list(answers))
        own = self._acceptor.view
        known = own.number if own is not None else 0
        return any(
            answer.view and read_view(answer.view).number > known for answer in answers.values()
        )

    def _is_quorum(self, peers: list[str]) -> bool:
        acceptor = self._acceptor
        return acceptor.view is not None and is_read_quorum(
            acceptor.view, acceptor.previous_view, acceptor.address, peers
        )

    def _learn_from_answers(self, answers: dict[str, messages_pb2.StoreAnswer]) -> None:
        """Adopts newer views, and starts a later generation if peers recorded a later one."""
        acceptor = self._acceptor
        for answer in answers.values():
            if answer.view:
                acceptor.learn_view(read_view(answer.view))
        if acceptor.voting_status is VotingStatus.READING:
            for answer in answers.values():
                acceptor.supersede_generation(answer.lives.get(acceptor.address, ""))

    def _finish(self, kind: CallKind, answers: dict[str, messages_pb2.StoreAnswer]) -> bool:
        acceptor = self._acceptor
        if kind is not CallKind.READ or acceptor.voting_status is not VotingStatus.READING:
            return False
        agreed = {peer: answer for peer, answer in answers.items() if answer.agreed}
        view = acceptor.view
        if view is None or not self._is_quorum(list(agreed)):
            return False
        sources = {*view.members, *(acceptor.previous_view or view).members}
        acceptor.finish_reading([agreed[peer] for peer in agreed if peer in sources])
        log.info(
            "recovery finished; voting starts",
            registers=len(acceptor.accepted_states),
            view=view.number,
        )
        return True

    def known_stores(self) -> list[str]:
        """Returns the members of the present and the previous view, and the seeds.

        All members of an old view may be gone, and one that just left can still be
        read from.
        """
        views = [view for view in (self._acceptor.view, self._acceptor.previous_view) if view]
        members = [peer for view in views for peer in view.members]
        known = dict.fromkeys([*members, *self._seeds])
        return [peer for peer in known if peer != self._acceptor.address]
