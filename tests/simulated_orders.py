"""Orders of registries at simulated stores, on a network that the test controls."""

import asyncio
import os

from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.ballots import NO_ACCEPTED_STATE
from marblefold.register_store.call_kinds import Outcome, RegisterCallKind
from marblefold.register_store.changes import RegisterContent, leave_unchanged
from marblefold.register_store.orders import read_order
from marblefold.register_store.peer_calls import answer_call
from marblefold.register_store.proposer import Proposer
from marblefold.registry.command_router import check_command
from tests.simulated_stores import SEEDS, Network, Store

_CHANGE_TIMEOUT_SECONDS = 5.0
_MAX_DELIVERIES = 400


class OrderedStore(Store):
    """A store whose messages carry their sender, and whose proposer uses the test's clock."""

    def restart_proposer(self):
        self.starts += 1
        self.proposer = Proposer(
            self,
            f"{self.address}/{self.acceptor.generation}/{self.starts}",
            sleep=lambda _seconds: asyncio.sleep(0),
            clock=self.system.clock,
        )

    async def call(self, peer, call):
        copy = messages_pb2.StoreCall.FromString(call.SerializeToString())
        copy.sender = self.address
        copy.sender_life = self.acceptor.generation
        if peer == self.address:
            return answer_call(self.acceptor, copy)
        store = self.system.stores[peer]

        def deliver():
            return answer_call(store.acceptor, copy)

        def deliver_answer():
            return answer

        deliver.caller = deliver_answer.caller = self.address
        answer = await self.system.network.send(deliver)
        return await self.system.network.send(deliver_answer)


class OrderedStores:
    """Three stores in one view; only the test delivers messages."""

    def __init__(self, clock):
        self.clock = clock
        self.loop = asyncio.new_event_loop()
        self.network = Network()
        self.stores = {address: OrderedStore(self, address, True) for address in SEEDS}

    def run_tasks(self):
        for _ in range(8):
            self.loop.run_until_complete(asyncio.sleep(0))

    def start(self, coroutine):
        return self.loop.create_task(coroutine)

    async def execute(self, address, call):
        """Returns the outcome of an order at a store, and the content of its register."""
        order = read_order(call)
        state = await self.stores[address].proposer.change(
            call.register, order.change, _CHANGE_TIMEOUT_SECONDS
        )
        content = RegisterContent(state.number, state.value, state.orders)
        return order.outcome_of(content), content

    async def _execute_for_outcome(self, address, call):
        return (await self.execute(address, call))[0]

    def propose(self, address, call):
        task = self.start(self._execute_for_outcome(address, call))
        self.run_tasks()
        return task

    def execute_order(self, address, call, except_from=""):
        task = self.propose(address, call)
        self.deliver_all(except_from, self.run_tasks)
        return task.result()

    def read(self, address, register):
        task = self.start(self.stores[address].proposer.change(register, leave_unchanged, 5.0))
        self.deliver_all("", self.run_tasks)
        return RegisterContent(task.result().number, task.result().value, task.result().orders)

    def deliver(self, index):
        if self.network.waiting:
            deliver, future = self.network.waiting.pop(index % len(self.network.waiting))
            if not future.done():
                future.set_result(deliver())

    def deliver_all(self, except_from, run_tasks):
        """Delivers pending messages and those that follow, except the calls of one store."""
        run_tasks()
        for _ in range(_MAX_DELIVERIES):
            ready = [
                message for message in self.network.waiting if message[0].caller != except_from
            ]
            if not ready:
                return
            self.deliver(self.network.waiting.index(ready[0]))
            run_tasks()

    def deliver_until(self, condition):
        """Delivers one message after the other until the condition holds."""
        for _ in range(_MAX_DELIVERIES):
            if condition():
                return
            self.deliver(0)
            self.run_tasks()
        raise AssertionError("the condition never held")

    def lose(self, index):
        if self.network.waiting:
            _deliver, future = self.network.waiting.pop(index % len(self.network.waiting))
            if not future.done():
                future.set_exception(MeshError("network", "lost"))

    def lose_all(self):
        """Loses all pending messages; later ones wait for delivery."""
        for _ in range(len(self.network.waiting)):
            self.lose(0)
        self.run_tasks()

    def close(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        for _ in range(20):
            self.run_tasks()
        self.network.waiting.clear()
        self.loop.close()


class StoreClient:
    """A registry's client, which sends an order to one store or to two at once."""

    def __init__(self, stores, addresses):
        self._stores = stores
        self._addresses = addresses

    async def ask(self, kind, register, number=0, value=b""):
        # The client of the registries makes the same check.
        if kind != RegisterCallKind.DESCRIBE:
            check_command()
        call = messages_pb2.RegisterCall(
            kind=kind, register=register, number=number, value=value, order=os.urandom(12)
        )
        attempts = [
            asyncio.ensure_future(self._stores.execute(address, call))
            for address in self._addresses
        ]
        try:
            done, _pending = await asyncio.wait(attempts, return_when=asyncio.FIRST_COMPLETED)
        finally:
            # Attempts that nothing waits for any more still continue.
            for attempt in attempts:
                attempt.add_done_callback(lambda task: task.cancelled() or task.exception())
        outcome, content = done.pop().result()
        return messages_pb2.RegisterAnswer(
            outcome=outcome, number=content.number, value=content.value
        )


def accepted_content(stores, address, register):
    """Returns what one store accepted, whether chosen or not."""
    return stores.stores[address].acceptor.accepted_states.get(register, NO_ACCEPTED_STATE)


__all__ = ["OrderedStores", "Outcome", "StoreClient", "accepted_content"]
