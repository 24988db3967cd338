"""Serves the calls of registries on registers."""

from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.ballots import AcceptedState
from marblefold.register_store.call_kinds import Outcome, RegisterCallKind
from marblefold.register_store.changes import RegisterContent
from marblefold.register_store.orders import Order, read_order
from marblefold.register_store.replicated_registers import ReplicatedRegisters

__all__ = ["RegisterService"]


class RegisterService:
    """Executes the reads and changes that registries request of one store."""

    def __init__(self, registers: ReplicatedRegisters) -> None:
        self._registers = registers

    async def execute(self, call: messages_pb2.RegisterCall) -> messages_pb2.RegisterAnswer:
        """Returns what a majority holds after the call; `Outcome.UNKNOWN` without a majority."""
        order = read_order(call)
        if order is None:
            return messages_pb2.RegisterAnswer(outcome=Outcome.UNKNOWN, reason="no such call")
        try:
            state = await self._carry_out(call, order)
        except MeshError as error:
            return messages_pb2.RegisterAnswer(outcome=Outcome.UNKNOWN, reason=str(error))
        outcome = order.outcome_of(RegisterContent(state.number, state.value, state.orders))
        return messages_pb2.RegisterAnswer(outcome=outcome, number=state.number, value=state.value)

    async def _carry_out(self, call: messages_pb2.RegisterCall, order: Order) -> AcceptedState:
        if call.kind == RegisterCallKind.DESCRIBE:
            return await self._registers.read(call.register)
        return await self._registers.change(call.register, order.change)
