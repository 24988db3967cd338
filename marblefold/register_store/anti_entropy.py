"""Brings a store that missed changes up to what the others know to be chosen.

Each round a store sends every other member 16 bytes that stand for all it knows
to be chosen.  Only where they differ are ballots sent, to one member, which
answers with what is newer there: answer after answer, each of a bounded size.
"""

import asyncio
from collections.abc import Awaitable, Callable

from marblefold.errors import DiskError, MeshError
from marblefold.inner_protocol.messages import kinds
from marblefold.logs import log
from marblefold.register_store.acceptor import Acceptor
from marblefold.register_store.ballots import AcceptedState, read_accepted_state
from marblefold.register_store.chosen_registers import ChosenRegisters
from marblefold.register_store.peer_call_kinds import CallKind
from marblefold.register_store.store_timing import REAL_TIMING, StoreTiming
from marblefold.register_store.view import read_view

__all__ = ["AntiEntropy", "answer_comparison"]

# The answers by peer, of those that answer.
AskAll = Callable[[list[str], kinds.StoreCall], Awaitable[dict[str, kinds.StoreAnswer]]]


class AntiEntropy:
    """One store's side of comparing."""

    def __init__(
        self,
        acceptor: Acceptor,
        chosen: ChosenRegisters,
        ask_all: AskAll,
        timing: StoreTiming = REAL_TIMING,
    ) -> None:
        self._acceptor = acceptor
        self._chosen = chosen
        self._ask_all = ask_all
        self._timing = timing

    async def run_round(self, others: list[str]) -> None:
        """Compares with the stores named, and catches up with one that differs."""
        call = kinds.StoreCall(
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
            # One at a time: all of them would send the same over one link.
            await self._catch_up(self._pick(differing))
        self._keep_copies()

    def learn_chosen(self, register: str, holding: AcceptedState) -> bool:
        """Takes in a holding that is known to be chosen; returns whether it was new here."""
        if not holding.value:
            return False
        # It is chosen whatever our own disk says: watchers receive it.
        was_new = self._chosen.put(register, holding)
        self._keep_copy(register, holding)
        return was_new

    def is_known_chosen(self, register: str) -> bool:
        """Whether what is held here is known to be chosen, or outdone by what is."""
        known = self._chosen.holdings.get(register)
        held = self._acceptor.accepted_states.get(register)
        return known is not None and (held is None or held.ballot <= known.ballot)

    def _pick(self, peers: list[str]) -> str:
        return min(peers, key=lambda _peer: self._timing.uniform(0, 1))

    async def _catch_up(self, peer: str) -> None:
        """Takes answer after answer until one holds nothing new; MeshError if one is missing."""
        is_behind = True
        while is_behind:
            call = kinds.StoreCall(
                kind=CallKind.COMPARE,
                view=self._acceptor.pack_view(),
                chosen=self._chosen.ballots(),
            )
            answer = (await self._ask_all([peer], call)).get(peer)
            if answer is None:
                # The next round asks another, before anything is settled here.
                raise MeshError("compare", "no answer", peer)
            is_behind = await self._take_all(answer)

    async def _take_all(self, answer: kinds.StoreAnswer) -> bool:
        was_new = False
        for message in answer.accepted:
            was_new |= self.learn_chosen(message.register, read_accepted_state(message))
            # Each is a write to disk: calls of others are answered in between.
            await asyncio.sleep(0)
        return was_new

    def _keep_copies(self) -> None:
        """Holds what is chosen here too, also what the disk refused, or came while reading."""
        for register, holding in list(self._chosen.holdings.items()):
            if not self._keep_copy(register, holding):
                return

    def _keep_copy(self, register: str, holding: AcceptedState) -> bool:
        try:
            self._acceptor.learn_chosen(register, holding)
        except DiskError as error:
            log.warning("no copy kept", register=register, reason=error.reason)
            return False
        return True


def answer_comparison(
    chosen: ChosenRegisters, call: kinds.StoreCall, view: bytes
) -> kinds.StoreAnswer:
    """Whether the caller knows the same, or what is newer here than its ballots.

    The view goes along where the caller named another one.
    """
    if call.view == view:
        view = b""
    if call.value:
        return kinds.StoreAnswer(agreed=call.value == chosen.digest(), view=view)
    accepted = chosen.newer_than(list(call.chosen))
    return kinds.StoreAnswer(agreed=True, view=view, accepted=accepted)
