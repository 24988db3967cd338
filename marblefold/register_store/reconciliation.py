"""Finds out by ballot what the registers hold, and takes in what is chosen."""

from marblefold.register_store.acceptor import Acceptor
from marblefold.register_store.anti_entropy import AntiEntropy
from marblefold.register_store.ballots import AcceptedState
from marblefold.register_store.changes import Change, keep
from marblefold.register_store.peer_calls import StorePeers
from marblefold.register_store.proposer import Proposer

__all__ = ["Reconciler"]

_SETTLE_SECONDS = 1.5


class Reconciler:
    """Proposes on a store's own account, and spreads what comes of it."""

    def __init__(
        self,
        acceptor: Acceptor,
        proposer: Proposer,
        peers: StorePeers,
        anti_entropy: AntiEntropy,
    ) -> None:
        self._acceptor = acceptor
        self._proposer = proposer
        self._peers = peers
        self._anti_entropy = anti_entropy

    async def reconcile(self, register: str) -> None:
        """A ballot that changes nothing: what the register holds, a majority holds."""
        await self.propose(register, keep)

    async def reconcile_all(self) -> None:
        """Settles every register that is known here; MeshError if one cannot be."""
        for register in list(self._acceptor.accepted_states):
            await self.reconcile(register)

    async def propose(self, register: str, change: Change) -> AcceptedState:
        """What holds after the change, taken in here and sent to the members.

        Raises a MeshError if no majority answers in time.
        """
        holding = await self._proposer.change(register, change, _SETTLE_SECONDS)
        self.learn_chosen(register, holding)
        # After a start of all, each register is settled by one and not by every one.
        if holding.value and self._acceptor.view:
            for member in self._acceptor.view.members:
                if member != self._acceptor.address:
                    self._peers.notify_chosen(member, register, holding)
        return holding

    def learn_chosen(self, register: str, holding: AcceptedState) -> None:
        """Takes in a holding that is known to be chosen."""
        self._anti_entropy.learn_chosen(register, holding)
