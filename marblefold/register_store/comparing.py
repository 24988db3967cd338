"""Brings a store that missed changes up to what the others know to be chosen.

Each round a store sends every other member 16 bytes that stand for all it knows
to be chosen.  Only where they differ are ballots sent, to one member, which
answers with what is newer there: answer after answer, each of a bounded size.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from marblefold.errors import DiskError, MeshError
from marblefold.inner_protocol.messages import kinds
from marblefold.logs import log
from marblefold.register_store.acceptor import Acceptor
from marblefold.register_store.ballots import Holding, read_holding
from marblefold.register_store.chosen_registers import ChosenRegisters

__all__ = ["Comparing", "answer_comparison"]

# The answer of each peer asked, in their order; None from one that gave none.
AskEach = Callable[[list[str], kinds.StoreCall], Awaitable[list[kinds.StoreAnswer | None]]]


class Comparing:
    """One store's side of comparing."""

    def __init__(self, acceptor: Acceptor, chosen: ChosenRegisters, ask_each: AskEach) -> None:
        self._acceptor = acceptor
        self._chosen = chosen
        self._ask_each = ask_each

    async def run_round(self) -> None:
        """Compares with every other member, and catches up with one that differs."""
        acceptor = self._acceptor
        if acceptor.view is None:
            return
        others = [peer for peer in acceptor.view.members if peer != acceptor.address]
        call = kinds.StoreCall(
            kind="compare", view=acceptor.pack_view(), value=self._chosen.digest()
        )
        answers = await self._ask_each(others, call)
        differing = [
            peer
            for peer, answer in zip(others, answers, strict=True)
            if answer is not None and not answer.agreed
        ]
        # A store of the version before knows no digests: it sends everything.
        for answer in answers:
            if answer is not None:
                await self._take_all(answer)
        if differing:
            # One at a time: all of them would send the same over one link.
            await self._catch_up(random.choice(differing))
        self._keep_copies()

    def take(self, register: str, holding: Holding) -> bool:
        """Something is known to be chosen; tells whether it was news."""
        if not holding.value:
            return False
        # It is chosen whatever our own disk says: those who watch hear it.
        was_news = self._chosen.put(register, holding)
        self._keep_copy(register, holding)
        return was_news

    def is_settled(self, register: str) -> bool:
        """Whether what is held here is known to be chosen, or outdone by what is."""
        known = self._chosen.holdings.get(register)
        held = self._acceptor.holdings.get(register)
        return known is not None and (held is None or held.ballot <= known.ballot)

    async def _catch_up(self, peer: str) -> None:
        """Takes answer after answer until one holds no news; MeshError if one is missing."""
        is_behind = True
        while is_behind:
            call = kinds.StoreCall(
                kind="compare", view=self._acceptor.pack_view(), chosen=self._chosen.ballots()
            )
            answer = (await self._ask_each([peer], call))[0]
            if answer is None:
                # The next round asks another, before anything is settled here.
                raise MeshError("compare", "no answer", peer)
            is_behind = await self._take_all(answer)

    async def _take_all(self, answer: kinds.StoreAnswer) -> bool:
        was_news = False
        for message in answer.accepted:
            was_news |= self.take(message.register, read_holding(message))
            # Each is a write to disk: calls of others are answered in between.
            await asyncio.sleep(0)
        return was_news

    def _keep_copies(self) -> None:
        """Holds what is chosen here too, also what the disk refused, or came while reading."""
        for register, holding in list(self._chosen.holdings.items()):
            if not self._keep_copy(register, holding):
                return

    def _keep_copy(self, register: str, holding: Holding) -> bool:
        try:
            self._acceptor.take_chosen(register, holding)
        except DiskError as error:
            log.warning("no copy kept", register=register, reason=error.reason)
            return False
        return True


def answer_comparison(chosen: ChosenRegisters, call: kinds.StoreCall) -> kinds.StoreAnswer:
    """Whether the caller knows the same, or what is newer here than its ballots."""
    if call.value:
        return kinds.StoreAnswer(agreed=call.value == chosen.digest())
    return kinds.StoreAnswer(agreed=True, accepted=chosen.newer_than(list(call.chosen)))
