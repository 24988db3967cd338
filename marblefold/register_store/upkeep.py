"""What a store does of its own accord: reads, repairs, and swaps a lost member."""

import asyncio
import os
import random
import time
import zlib

from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import kinds
from marblefold.logs import log
from marblefold.register_store.acceptor import VIEW_REGISTER, Acceptor, Standing
from marblefold.register_store.ballots import NOTHING, Ballot, read_holding
from marblefold.register_store.changes import change_view, keep
from marblefold.register_store.chosen_registers import ChosenRegisters
from marblefold.register_store.peer_calls import StorePeers
from marblefold.register_store.proposer import Proposer
from marblefold.register_store.view import read_view

__all__ = ["Upkeep"]

_ROUND_SECONDS = 0.3
_GONE_SECONDS = 2.0
_WAITING_SECONDS = 2.0
_SETTLE_SECONDS = 1.5


class Upkeep:
    """The rounds of one store."""

    def __init__(
        self,
        acceptor: Acceptor,
        peers: StorePeers,
        proposer: Proposer,
        words: ChosenRegisters,
        seeds: list[str],
        machine_losses: int = 1,
    ) -> None:
        self._acceptor = acceptor
        self._peers = peers
        self._proposer = proposer
        self._words = words
        self._seeds = seeds
        # A majority must be left when that many lose their disks at once; the
        # first view has no more members than there are seeds.
        self._wanted_members = 2 * machine_losses + 1
        self._began = time.monotonic()
        self._waiting: dict[str, float] = {}
        self._unsettled: set[str] | None = None
        # Accepted here, but not known to be chosen, as of the round before.
        self._unsure: dict[str, Ballot] = {}

    async def run(self) -> None:
        """Makes rounds for ever; one that fails is made again."""
        while True:
            try:
                await self._round()
            except MeshError as error:
                log.info("round", step=error.step, peer=error.peer, reason=error.reason)
            await asyncio.sleep(_ROUND_SECONDS * random.uniform(0.8, 1.2))

    def note_waiting(self, newcomer: str) -> None:
        """A store outside the view would take a place in it."""
        self._waiting[newcomer] = time.monotonic()

    async def _round(self) -> None:
        acceptor = self._acceptor
        if acceptor.standing is Standing.READING:
            await self._read()
        if acceptor.standing is Standing.VOTING:
            if acceptor.has_open_view:
                await self._settle(VIEW_REGISTER)
            self._note_unsure()
            await self._settle_all()
            await self._grow()
            await self._swap_lost()
        await self._compare()

    async def _read(self) -> None:
        """Reads all registers from enough others, then votes."""
        acceptor = self._acceptor
        peers = acceptor.view.members if acceptor.view else self._seeds
        others = [peer for peer in peers if peer != acceptor.address]
        kind = "read" if acceptor.is_member else "join"
        answers = await self._ask_all(others, kinds.StoreCall(kind=kind, view=acceptor.pack_view()))
        known = acceptor.view
        for answer in answers:
            if answer.view:
                acceptor.take_view(read_view(answer.view))
        # Another view than the one we asked under: ask again under that.
        if acceptor.view != known or not acceptor.is_member or kind != "read":
            return
        agreed = [answer for answer in answers if answer.agreed]
        if len(agreed) < acceptor.view.reading:
            return
        acceptor.finish_reading(agreed)
        self._unsettled = None
        log.info("reading done", registers=len(acceptor.holdings), view=acceptor.view.number)

    async def _settle_all(self) -> None:
        """After a start, finds out which of the words held here hold at all."""
        if self._unsettled is None:
            self._unsettled = set(self._acceptor.holdings)
        for register in list(self._unsettled):
            await self._settle(register)
            self._unsettled.discard(register)

    def _note_unsure(self) -> None:
        """What was accepted a round ago and still not told to be chosen may well be.

        Its proposer tells that once; if it was lost just then, nobody else knows.
        """
        unsure = {
            register: holding.ballot
            for register, holding in self._acceptor.holdings.items()
            if register != VIEW_REGISTER
            and holding.ballot > self._words.holdings.get(register, NOTHING).ballot
        }
        if self._unsettled is not None:
            self._unsettled |= {register for register, _ in unsure.items() & self._unsure.items()}
        self._unsure = unsure

    async def _settle(self, register: str) -> None:
        holding = await self._proposer.change(register, keep, _SETTLE_SECONDS)
        self.take_chosen(register, holding)

    def take_chosen(self, register: str, holding) -> None:
        """Something is known to hold."""
        if not holding.value:
            return
        self._acceptor.take_chosen(register, holding)
        self._words.put(register, holding)

    async def _compare(self) -> None:
        """Compares with every other member; whoever is behind takes a frame."""
        acceptor = self._acceptor
        if acceptor.view is None:
            return
        call = kinds.StoreCall(
            kind="compare", view=acceptor.pack_view(), chosen=self._words.ballots()
        )
        others = [peer for peer in acceptor.view.members if peer != acceptor.address]
        for answer in await self._ask_all(others, call):
            for message in answer.accepted:
                self.take_chosen(message.register, read_holding(message))

    async def _grow(self) -> None:
        """Takes a store that waits into a view with too few members."""
        now = time.monotonic()
        view = self._acceptor.view
        waiting = self._find_waiting(now)
        if len(view.members) >= self._wanted_members or not waiting:
            return
        # One by one, each by the duty of one member; the register is the fence.
        newcomer = waiting[0]
        live = [
            peer
            for peer in view.members
            if peer == self._acceptor.address
            or self._peers.silence(peer, self._began) <= _GONE_SECONDS
        ]
        if max(live, key=lambda peer: _rank(newcomer, peer)) != self._acceptor.address:
            return
        # Only while all the others vote: a newcomer reads from most of them.
        if len(live) < len(view.members):
            return
        following = view.add(newcomer, os.urandom(16).hex())
        holding = await self._proposer.change(
            VIEW_REGISTER, change_view(view, following), _SETTLE_SECONDS
        )
        self.take_chosen(VIEW_REGISTER, holding)
        log.info("view grew", newcomer=newcomer, view=following.number)

    def _find_waiting(self, now: float) -> list[str]:
        return sorted(
            peer
            for peer, at in self._waiting.items()
            if now - at < _WAITING_SECONDS and peer not in self._acceptor.view.members
        )

    async def _swap_lost(self) -> None:
        """Swaps a member that is gone for a store that waits, if that is our duty."""
        now = time.monotonic()
        view = self._acceptor.view
        waiting = self._find_waiting(now)
        lost = [
            peer
            for peer in view.members
            if peer != self._acceptor.address
            and self._peers.silence(peer, self._began) > _GONE_SECONDS
        ]
        if not waiting or not lost:
            return
        gone = lost[0]
        live = [peer for peer in view.members if peer not in lost]
        # The duty falls to one live member by key; the view register is the
        # fence that refuses the act of any other.
        if max(live, key=lambda peer: _rank(gone, peer)) != self._acceptor.address:
            return
        if not await self._is_gone_for_others(gone, live):
            return
        following = view.swap(gone, waiting[0], os.urandom(16).hex())
        holding = await self._proposer.change(
            VIEW_REGISTER, change_view(view, following), _SETTLE_SECONDS
        )
        self.take_chosen(VIEW_REGISTER, holding)
        log.info("view changed", gone=gone, newcomer=waiting[0], view=following.number)

    async def _is_gone_for_others(self, gone: str, live: list[str]) -> bool:
        """A second opinion: whether the others have not heard it either."""
        others = [peer for peer in live if peer != self._acceptor.address]
        answers = await self._ask_all(
            others, kinds.StoreCall(kind="opinion", view=self._acceptor.pack_view(), register=gone)
        )
        return bool(answers) and all(answer.agreed for answer in answers)

    def opinion(self, peer: str) -> bool:
        """Whether the peer is gone as far as we can tell."""
        return self._peers.silence(peer, self._began) > _GONE_SECONDS

    async def _ask_all(self, peers: list[str], call: kinds.StoreCall) -> list[kinds.StoreAnswer]:
        results = await asyncio.gather(
            *(
                self._peers.call(peer, kinds.StoreCall.FromString(call.SerializeToString()))
                for peer in peers
            ),
            return_exceptions=True,
        )
        answers = []
        for result in results:
            if isinstance(result, MeshError):
                continue
            if isinstance(result, BaseException):
                raise result
            answers.append(result)
        return answers


def _rank(key: str, peer: str) -> tuple[int, str]:
    return zlib.crc32(f"{key}|{peer}".encode()), peer
