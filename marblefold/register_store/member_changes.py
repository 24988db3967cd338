"""Changes the members of the view: adds, replaces and hands over members.

One change at a time: none starts before each reachable member votes in the
present view and each register is reconciled in it, so that every register has a
majority of copies before the next member leaves.
"""

import asyncio
import os
import zlib

from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.logs import log
from marblefold.register_store.acceptor import VIEW_REGISTER, Acceptor, VotingStatus
from marblefold.register_store.changes import change_view
from marblefold.register_store.peer_call_kinds import CallKind
from marblefold.register_store.peer_calls import StorePeers
from marblefold.register_store.replicated_registers import ReplicatedRegisters
from marblefold.register_store.store_timing import StoreTiming
from marblefold.register_store.view import View

__all__ = ["MemberChanges"]

_UNREACHABLE_AFTER_SECONDS = 2.0
# A round that calls unreachable stores may take more than two call timeouts.
_JOIN_REQUEST_LIFETIME_SECONDS = 5.0
_HAND_OVER_POLL_SECONDS = 0.1


class MemberChanges:
    """Starts the member changes that are due at one store, and answers those of others."""

    def __init__(
        self,
        acceptor: Acceptor,
        peers: StorePeers,
        registers: ReplicatedRegisters,
        machine_losses: int,
        timing: StoreTiming,
    ) -> None:
        self.is_leaving = False
        self._acceptor = acceptor
        self._peers = peers
        self._registers = registers
        # A majority must be left when so many machines lose their disks at once; the
        # first view has only as many members as there are seeds.
        self._wanted_members = 2 * machine_losses + 1
        self._timing = timing
        self._started_at = timing.clock()
        self._join_requests: dict[str, float] = {}
        self._reconciled_view: View | None = None

    def add_waiting_store(self, newcomer: str) -> None:
        """Records that a store outside the view asks to become a member."""
        self._join_requests[newcomer] = self._timing.clock()

    def agrees_to_change(self, peer: str) -> bool:
        """Whether this store agrees to a change of members.

        It does if it votes and the peer, if one is named, is unreachable from here.
        """
        acceptor = self._acceptor
        is_voting = (
            acceptor.voting_status is VotingStatus.VOTING
            and acceptor.is_member
            and not acceptor.has_pending_view
        )
        return is_voting and (not peer or self._is_unreachable(peer))

    async def start_next_change(self) -> None:
        """Starts the next change of members, if one is due and this store is responsible."""
        view = self._acceptor.view
        if view is None:
            return
        waiting = self._find_waiting()
        if not waiting or not self._acceptor.is_member:
            return
        lost = [peer for peer in view.members if self._is_unreachable(peer)]
        live = [peer for peer in view.members if peer not in lost]
        # Rendezvous hashing picks one live member for each change; should two
        # act, the view register takes only one of the changes.
        if lost and self._is_responsible(lost[0], live):
            await self._change(
                view.replace_member(lost[0], waiting[0], _new_nonce()), live, removed=lost[0]
            )
        elif (
            not lost
            and len(view.members) < self._wanted_members
            and self._is_responsible(waiting[0], live)
        ):
            await self._change(view.add_member(waiting[0], _new_nonce()), live, removed="")

    async def hand_over(self, seconds: float) -> None:
        """Replaces this store by one that waits to join, before the process ends.

        Does nothing if no store waits: a restart in place is cheap.
        seconds: the time after which no further attempt starts.
        """
        self.is_leaving = True
        end = self._timing.clock() + seconds
        while self._timing.clock() < end and self._can_hand_over():
            view = self._acceptor.view
            if view is None:
                return
            newcomer = self._find_waiting()[0]
            live = [peer for peer in view.members if not self._is_unreachable(peer)]
            following = view.replace_member(self._acceptor.address, newcomer, _new_nonce())
            try:
                if await self._change(following, live, removed=""):
                    await self._wait_until_voting(newcomer, end)
                    return
            except MeshError as error:
                log.info("member hand-over failed; retrying", step=error.step, reason=error.reason)
            await self._timing.sleep(_HAND_OVER_POLL_SECONDS)

    def _can_hand_over(self) -> bool:
        acceptor = self._acceptor
        return (
            acceptor.voting_status is VotingStatus.VOTING
            and acceptor.is_member
            and acceptor.view is not None
            and len(acceptor.view.members) >= self._wanted_members
            and bool(self._find_waiting())
        )

    async def _wait_until_voting(self, newcomer: str, end: float) -> None:
        while self._timing.clock() < end:
            if await self._collect_agreement([newcomer], ""):
                return
            await self._timing.sleep(_HAND_OVER_POLL_SECONDS)

    async def _change(self, following: View, live: list[str], removed: str) -> bool:
        """Proposes the view if the last change is finished; returns whether it was chosen."""
        view = self._acceptor.view
        if view is None:
            return False
        peers = [peer for peer in live if peer != self._acceptor.address]
        agreed = await self._collect_agreement(peers, removed)
        if agreed is None:
            return False
        # With fewer the view could not be chosen, nor could the newcomer read.
        if len(agreed) + 1 < view.majority:
            return False
        if self._reconciled_view != view:
            await self._registers.reconcile_all()
            self._reconciled_view = view
        if self._acceptor.view != view:
            return False
        state = await self._registers.change(VIEW_REGISTER, change_view(view, following))
        # Views are only ever replaced by later ones, so the known view is never None again.
        newest = self._acceptor.view or view
        log.info("view changed", gone=removed, members=list(newest.members), view=newest.number)
        return state.value == following.pack()

    async def _collect_agreement(self, peers: list[str], removed: str) -> list[str] | None:
        """Returns the peers that agree; None if one of those that answer does not."""
        view = self._acceptor.pack_view()
        results = await asyncio.gather(
            *(
                self._peers.call(
                    peer, messages_pb2.StoreCall(kind=CallKind.OPINION, view=view, register=removed)
                )
                for peer in peers
            ),
            return_exceptions=True,
        )
        agreed = []
        for peer, result in zip(peers, results, strict=True):
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
        self._join_requests = {
            peer: at
            for peer, at in self._join_requests.items()
            if now - at < _JOIN_REQUEST_LIFETIME_SECONDS
        }
        view = self._acceptor.view
        members = view.members if view is not None else ()
        return sorted(peer for peer in self._join_requests if peer not in members)

    def _is_unreachable(self, peer: str) -> bool:
        return (
            peer != self._acceptor.address
            and self._peers.silence_seconds(peer, self._started_at) > _UNREACHABLE_AFTER_SECONDS
        )

    def _is_responsible(self, key: str, live: list[str]) -> bool:
        return max(live, key=lambda peer: _hash_rank(key, peer)) == self._acceptor.address


def _new_nonce() -> str:
    return os.urandom(16).hex()


def _hash_rank(key: str, peer: str) -> tuple[int, str]:
    return zlib.crc32(f"{key}|{peer}".encode()), peer
