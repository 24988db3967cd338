"""Determines by ballot which states are chosen, and distributes them."""

from marblefold.register_store.acceptor import Acceptor
from marblefold.register_store.anti_entropy import AntiEntropy
from marblefold.register_store.ballots import AcceptedState
from marblefold.register_store.changes import Change, leave_unchanged
from marblefold.register_store.peer_calls import StorePeers
from marblefold.register_store.proposer import Proposer

__all__ = ["Reconciler"]

_CHANGE_TIMEOUT_SECONDS = 1.5


class Reconciler:
    """Proposes on behalf of the store itself, and sends the chosen states to the members."""

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
        """Runs a ballot that changes nothing, so that a majority accepts the newest state."""
        await self.propose(register, leave_unchanged)

    async def reconcile_all(self) -> None:
        """Reconciles every register known here; raises MeshError if one fails."""
        for register in list(self._acceptor.accepted_states):
            await self.reconcile(register)

    async def propose(self, register: str, change: Change) -> AcceptedState:
        """Applies the change, then stores the chosen state here and sends it to the members.

        Raises a MeshError if no majority answers in time.
        """
        state = await self._proposer.change(register, change, _CHANGE_TIMEOUT_SECONDS)
        self.learn_chosen(register, state)
        # When all members start at once, one of them reconciles a register for all.
        if state.value and self._acceptor.view:
            for member in self._acceptor.view.members:
                if member != self._acceptor.address:
                    self._peers.notify_chosen(member, register, state)
        return state

    def learn_chosen(self, register: str, state: AcceptedState) -> None:
        """Stores a state that is known to be chosen."""
        self._anti_entropy.learn_chosen(register, state)
