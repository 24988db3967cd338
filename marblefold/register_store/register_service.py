"""Serves the calls of registries on registers: executes them and distributes the result."""

from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.acceptor import Acceptor
from marblefold.register_store.ballots import AcceptedState
from marblefold.register_store.call_kinds import Outcome
from marblefold.register_store.changes import RegisterContent
from marblefold.register_store.orders import read_order
from marblefold.register_store.peer_calls import StorePeers
from marblefold.register_store.proposer import Proposer
from marblefold.register_store.replica import Replica

__all__ = ["RegisterService"]

_CHANGE_TIMEOUT_SECONDS = 1.3


class RegisterService:
    """Executes the reads and changes that registries request of one store."""

    def __init__(
        self, acceptor: Acceptor, peers: StorePeers, proposer: Proposer, replica: Replica
    ) -> None:
        self._acceptor = acceptor
        self._peers = peers
        self._proposer = proposer
        self._replica = replica

    async def execute(self, call: messages_pb2.RegisterCall) -> messages_pb2.RegisterAnswer:
        """Returns what a majority holds after the call; `Outcome.UNKNOWN` without a majority."""
        order = read_order(call)
        if order is None:
            return messages_pb2.RegisterAnswer(outcome=Outcome.UNKNOWN, reason="no such call")
        try:
            state = await self._proposer.change(
                call.register, order.change, _CHANGE_TIMEOUT_SECONDS
            )
        except MeshError as error:
            return messages_pb2.RegisterAnswer(outcome=Outcome.UNKNOWN, reason=str(error))
        self._publish_chosen(call.register, state)
        outcome = order.outcome_of(RegisterContent(state.number, state.value, state.orders))
        return messages_pb2.RegisterAnswer(outcome=outcome, number=state.number, value=state.value)

    def _publish_chosen(self, register: str, state: AcceptedState) -> None:
        self._replica.learn_chosen(register, state)
        view = self._acceptor.view
        for peer in view.members if view else ():
            self._peers.notify_chosen(peer, register, state)
