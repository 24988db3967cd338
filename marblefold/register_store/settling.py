"""Finds out by ballot what the registers hold, and takes in what is chosen."""

from marblefold.register_store.acceptor import VIEW_REGISTER, Acceptor
from marblefold.register_store.ballots import Holding
from marblefold.register_store.changes import Change, keep
from marblefold.register_store.chosen_registers import ChosenRegisters
from marblefold.register_store.peer_calls import StorePeers
from marblefold.register_store.proposer import Proposer

__all__ = ["Settler"]

_SETTLE_SECONDS = 1.5


class Settler:
    """Proposes on a store's own account, and spreads what comes of it."""

    def __init__(
        self,
        acceptor: Acceptor,
        proposer: Proposer,
        peers: StorePeers,
        words: ChosenRegisters,
    ) -> None:
        self._acceptor = acceptor
        self._proposer = proposer
        self._peers = peers
        self._words = words

    async def settle(self, register: str) -> None:
        """A ballot that changes nothing: what the register holds, a majority holds."""
        await self.propose(register, keep)

    async def settle_all(self) -> None:
        """Settles every register that is known here; MeshError if one cannot be."""
        for register in list(self._acceptor.holdings):
            await self.settle(register)

    async def propose(self, register: str, change: Change) -> Holding:
        """What holds after the change, taken in here; a view is told to its members."""
        holding = await self._proposer.change(register, change, _SETTLE_SECONDS)
        self.take_chosen(register, holding)
        if register == VIEW_REGISTER and holding.value and self._acceptor.view:
            for member in self._acceptor.view.members:
                self._peers.tell_chosen(member, register, holding)
        return holding

    def take_chosen(self, register: str, holding: Holding) -> None:
        """Something is known to be chosen."""
        if not holding.value:
            return
        self._acceptor.take_chosen(register, holding)
        self._words.put(register, holding)
