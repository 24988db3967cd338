"""Changes the members of the view: grows it, swaps a lost member, hands a place over.

One change at a time: none starts before each member in reach votes in
the present view and each register is settled in it, so that every register
has the copies that the view promises before the next member goes.
"""

import asyncio
import os
import zlib

from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import kinds
from marblefold.logs import log
from marblefold.register_store.acceptor import VIEW_REGISTER, Acceptor, Standing
from marblefold.register_store.changes import change_view
from marblefold.register_store.peer_call_kinds import CallKind
from marblefold.register_store.peer_calls import StorePeers
from marblefold.register_store.reconciliation import Reconciler
from marblefold.register_store.store_timing import StoreTiming
from marblefold.register_store.view import View

__all__ = ["MemberChanges"]

_GONE_SECONDS = 2.0
# A round that asks stores out of reach may take two call times and more.
_WAITING_SECONDS = 5.0
_HAND_OVER_PAUSE = 0.1


class MemberChanges:
    """What one store does about the members of the view."""

    def __init__(
        self,
        acceptor: Acceptor,
        peers: StorePeers,
        reconciler: Reconciler,
        machine_losses: int,
        timing: StoreTiming,
    ) -> None:
        self.is_leaving = False
        self._acceptor = acceptor
        self._peers = peers
        self._reconciler = reconciler
        # A majority must be left when that many lose their disks at once; the
        # first view has no more members than there are seeds.
        self._wanted_members = 2 * machine_losses + 1
        self._timing = timing
        self._began = timing.clock()
        self._waiting: dict[str, float] = {}
        self._settled_view: View | None = None

    def add_waiting_store(self, newcomer: str) -> None:
        """A store outside the view asks for a place in it."""
        self._waiting[newcomer] = self._timing.clock()

    def agrees_to_change(self, peer: str) -> bool:
        """Whether a change of members may start as far as is known here.

        It may if we vote and the peer, if one is named, is gone.
        """
        acceptor = self._acceptor
        votes = (
            acceptor.voting_status is Standing.VOTING
            and acceptor.is_member
            and not acceptor.has_pending_view
        )
        return votes and (not peer or self._is_gone(peer))

    async def start_next_change(self) -> None:
        """Starts the next change of members, if one is due and it is our duty."""
        view = self._acceptor.view
        if view is None:
            return
        waiting = self._find_waiting()
        if not waiting or not self._acceptor.is_member:
            return
        lost = [peer for peer in view.members if self._is_gone(peer)]
        live = [peer for peer in view.members if peer not in lost]
        # The duty falls to one live member by key; the view register is the
        # fence that refuses the act of any other.
        if lost and self._has_duty(lost[0], live):
            await self._change(
                view.replace_member(lost[0], waiting[0], _mark()), live, gone=lost[0]
            )
        elif (
            not lost
            and len(view.members) < self._wanted_members
            and self._has_duty(waiting[0], live)
        ):
            await self._change(view.add_member(waiting[0], _mark()), live, gone="")

    async def hand_over(self, seconds: float) -> None:
        """Gives our place to a store that waits for one, before we end.

        Without one that waits nothing is done: a restart in place is cheap.
        seconds: no try begins later than that.
        """
        self.is_leaving = True
        end = self._timing.clock() + seconds
        while self._timing.clock() < end and self._can_hand_over():
            view = self._acceptor.view
            if view is None:
                return
            newcomer = self._find_waiting()[0]
            live = [peer for peer in view.members if not self._is_gone(peer)]
            following = view.replace_member(self._acceptor.address, newcomer, _mark())
            try:
                if await self._change(following, live, gone=""):
                    await self._await_vote(newcomer, end)
                    return
            except MeshError as error:
                log.info("hand-over", step=error.step, reason=error.reason)
            await self._timing.sleep(_HAND_OVER_PAUSE)

    def _can_hand_over(self) -> bool:
        acceptor = self._acceptor
        return (
            acceptor.voting_status is Standing.VOTING
            and acceptor.is_member
            and acceptor.view is not None
            and len(acceptor.view.members) >= self._wanted_members
            and bool(self._find_waiting())
        )

    async def _await_vote(self, newcomer: str, end: float) -> None:
        while self._timing.clock() < end:
            if await self._ask_opinions([newcomer], ""):
                return
            await self._timing.sleep(_HAND_OVER_PAUSE)

    async def _change(self, following: View, live: list[str], gone: str) -> bool:
        """Proposes the view unless the change before is unfinished; returns whether it holds."""
        view = self._acceptor.view
        if view is None:
            return False
        others = [peer for peer in live if peer != self._acceptor.address]
        agreed = await self._ask_opinions(others, gone)
        if agreed is None:
            return False
        # Fewer could neither choose the view nor let the newcomer read.
        if len(agreed) + 1 < view.majority:
            return False
        if self._settled_view != view:
            await self._reconciler.reconcile_all()
            self._settled_view = view
        if self._acceptor.view != view:
            return False
        holding = await self._reconciler.propose(VIEW_REGISTER, change_view(view, following))
        # Views only follow one another: one that was known stays known.
        newest = self._acceptor.view or view
        log.info("view changed", gone=gone, members=list(newest.members), view=newest.number)
        return holding.value == following.pack()

    async def _ask_opinions(self, others: list[str], gone: str) -> list[str] | None:
        """Those that agree; None if one that answers does not."""
        view = self._acceptor.pack_view()
        results = await asyncio.gather(
            *(
                self._peers.call(
                    peer, kinds.StoreCall(kind=CallKind.OPINION, view=view, register=gone)
                )
                for peer in others
            ),
            return_exceptions=True,
        )
        agreed = []
        for peer, result in zip(others, results, strict=True):
            if isinstance(result, MeshError):
                continue
            if isinstance(result, BaseException):
                raise result
            if not result.agreed or result.view != view:
                return None
            agreed.append(peer)
        return agreed

    def _find_waiting(self) -> list[str]:
        now = self._timing.clock()
        self._waiting = {
            peer: at for peer, at in self._waiting.items() if now - at < _WAITING_SECONDS
        }
        view = self._acceptor.view
        members = view.members if view is not None else ()
        return sorted(peer for peer in self._waiting if peer not in members)

    def _is_gone(self, peer: str) -> bool:
        return (
            peer != self._acceptor.address
            and self._peers.silence_seconds(peer, self._began) > _GONE_SECONDS
        )

    def _has_duty(self, key: str, live: list[str]) -> bool:
        return max(live, key=lambda peer: _rank(key, peer)) == self._acceptor.address


def _mark() -> str:
    return os.urandom(16).hex()


def _rank(key: str, peer: str) -> tuple[int, str]:
    return zlib.crc32(f"{key}|{peer}".encode()), peer
