"""One phase of a ballot: a call to the stores, until a majority agrees or cannot any more."""

from collections.abc import Callable

from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.concurrent_calls import ConcurrentCalls, PeerCaller, StoreReply
from marblefold.register_store.peer_call_kinds import Refusal
from marblefold.register_store.phase_deadline import PhaseDeadline
from marblefold.register_store.view import read_view

__all__ = ["BallotPhase"]


class BallotPhase:
    """Collects the agreeing answers of one phase, and why others refused."""

    def __init__(self, peers: PeerCaller, quorum: int, clock: Callable[[], float]) -> None:
        self.agreed: dict[str, messages_pb2.StoreAnswer] = {}
        # The highest counter among the promises of stores that refused.
        self.promised_counter = 0
        self.was_outbid = False
        self._peers = peers
        self._quorum = quorum
        self._clock = clock

    async def run(self, names: list[str], call: messages_pb2.StoreCall) -> None:
        """Calls the stores. The calls that remain go on: each that arrives makes one more copy."""
        calls = ConcurrentCalls(self._peers, dict.fromkeys(names, call))
        deadline = PhaseDeadline(self._clock)
        while calls.pending_count and self._is_undecided(calls.pending_count):
            remaining = deadline.remaining_seconds()
            if remaining <= 0:
                return
            for reply in await calls.next_replies(remaining):
                self._take_reply(reply)
            if self.was_outbid:
                deadline.expect_end()

    def _is_undecided(self, pending_count: int) -> bool:
        return len(self.agreed) < self._quorum <= len(self.agreed) + pending_count

    def _take_reply(self, reply: StoreReply) -> None:
        answer = reply.answer
        if answer is None:
            return
        if answer.agreed:
            self.agreed[reply.peer] = answer
            return
        self.promised_counter = max(self.promised_counter, answer.promised.counter)
        self.was_outbid |= answer.reason == Refusal.PROMISED_HIGHER
        if answer.view:
            self._peers.learn_view(read_view(answer.view))
