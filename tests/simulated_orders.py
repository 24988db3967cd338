"""Orders of registries at simulated stores, on a network that the test drives."""

import asyncio
import os

from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import kinds
from marblefold.register_store.ballots import NO_ACCEPTED_STATE
from marblefold.register_store.call_kinds import Outcome, RegisterCallKind
from marblefold.register_store.changes import Held, keep
from marblefold.register_store.orders import read_order
from marblefold.register_store.peer_calls import answer_call
from marblefold.register_store.proposer import Proposer
from marblefold.registry.order_gate import check_order
from tests.simulated_stores import SEEDS, Network, Store

_TRYING_SECONDS = 5.0
_MOST_DELIVERIES = 400


class OrderedStore(Store):
    """A store whose messages are marked, and whose proposer has the test's clock."""

    def restart_proposer(self):
        self.starts += 1
        self.proposer = Proposer(
            self,
            f"{self.address}/{self.acceptor.generation}/{self.starts}",
            sleep=lambda _seconds: asyncio.sleep(0),
            clock=self.system.clock,
        )

    async def call(self, peer, call):
        copy = kinds.StoreCall.FromString(call.SerializeToString())
        copy.sender = self.address
        copy.sender_life = self.acceptor.generation
        if peer == self.address:
            return answer_call(self.acceptor, copy)
        store = self.system.stores[peer]

        def deliver():
            return answer_call(store.acceptor, copy)

        def come_back():
            return answer

        deliver.caller = come_back.caller = self.address
        answer = await self.system.network.send(deliver)
        return await self.system.network.send(come_back)


class OrderedStores:
    """Three stores in one view; nothing is delivered but by the test."""

    def __init__(self, clock):
        self.clock = clock
        self.loop = asyncio.new_event_loop()
        self.network = Network()
        self.stores = {address: OrderedStore(self, address, True) for address in SEEDS}

    def turn(self):
        for _ in range(8):
            self.loop.run_until_complete(asyncio.sleep(0))

    def start(self, coroutine):
        return self.loop.create_task(coroutine)

    async def settle(self, address, call):
        """What a store answers to an order, and what it found held."""
        order = read_order(call)
        holding = await self.stores[address].proposer.change(
            call.register, order.change, _TRYING_SECONDS
        )
        held = Held(holding.number, holding.value, holding.orders)
        return order.judge(held), held

    async def _judge(self, address, call):
        return (await self.settle(address, call))[0]

    def propose(self, address, call):
        task = self.start(self._judge(address, call))
        self.turn()
        return task

    def do(self, address, call, but=""):
        task = self.propose(address, call)
        self.deliver_all(but, self.turn)
        return task.result()

    def read(self, address, register):
        task = self.start(self.stores[address].proposer.change(register, keep, 5.0))
        self.deliver_all("", self.turn)
        return Held(task.result().number, task.result().value, task.result().orders)

    def deliver(self, index):
        if self.network.waiting:
            deliver, future = self.network.waiting.pop(index % len(self.network.waiting))
            if not future.done():
                future.set_result(deliver())

    def deliver_all(self, but, turn):
        """Delivers what is under way and what follows, but for one store's calls."""
        turn()
        for _ in range(_MOST_DELIVERIES):
            ready = [one for one in self.network.waiting if one[0].caller != but]
            if not ready:
                return
            self.deliver(self.network.waiting.index(ready[0]))
            turn()

    def deliver_until(self, is_so):
        """Delivers one message after the other until something is so."""
        for _ in range(_MOST_DELIVERIES):
            if is_so():
                return
            self.deliver(0)
            self.turn()
        raise AssertionError("it never came about")

    def lose(self, index):
        if self.network.waiting:
            _deliver, future = self.network.waiting.pop(index % len(self.network.waiting))
            if not future.done():
                future.set_exception(MeshError("network", "lost"))

    def lose_all(self):
        """Loses what is under way now; what is sent afterwards waits."""
        for _ in range(len(self.network.waiting)):
            self.lose(0)
        self.turn()

    def close(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        for _ in range(20):
            self.turn()
        self.network.waiting.clear()
        self.loop.close()


class StoreClient:
    """A registry's client: one order, to one store or to two at once."""

    def __init__(self, stores, addresses):
        self._stores = stores
        self._addresses = addresses

    async def ask(self, kind, register, number=0, value=b""):
        # As the registries' own client does.
        if kind != RegisterCallKind.DESCRIBE:
            check_order()
        call = kinds.RegisterCall(
            kind=kind, register=register, number=number, value=value, order=os.urandom(12)
        )
        tries = [
            asyncio.ensure_future(self._stores.settle(address, call)) for address in self._addresses
        ]
        try:
            done, _pending = await asyncio.wait(tries, return_when=asyncio.FIRST_COMPLETED)
        finally:
            # Whoever is not waited for any more goes on all the same.
            for one in tries:
                one.add_done_callback(lambda task: task.cancelled() or task.exception())
        outcome, held = done.pop().result()
        return kinds.RegisterAnswer(outcome=outcome, number=held.number, value=held.value)


def held_of(stores, address, register):
    """What one store accepted, chosen or not."""
    return stores.stores[address].acceptor.accepted_states.get(register, NO_ACCEPTED_STATE)


__all__ = ["Outcome", "OrderedStores", "StoreClient", "held_of"]
