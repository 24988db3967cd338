"""Stores on in-memory disks, and a network that delivers only on the test's command."""

import asyncio

from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.acceptor import Acceptor
from marblefold.register_store.peer_calls import answer_call
from marblefold.register_store.proposer import Proposer

SEEDS = ["a:1", "b:1", "c:1"]
ALL = SEEDS + ["d:1"]


class MemoryRecords:
    """An in-memory disk."""

    def __init__(self):
        self.records = {}

    def load(self):
        return dict(self.records)

    def write(self, name, data):
        self.records[name] = data


class Network:
    """Queues every message until the test delivers or drops it."""

    def __init__(self):
        self.waiting = []

    async def send(self, deliver):
        future = asyncio.get_running_loop().create_future()
        self.waiting.append((deliver, future))
        return await future


class Store:
    """One store: its disk, acceptor and proposer."""

    def __init__(self, system, address, is_first):
        self.system = system
        self.address = address
        self.records = MemoryRecords()
        self.starts = 0
        self.acceptor = Acceptor(address, self.records, SEEDS, is_first)
        self.restart_proposer()

    def restart_proposer(self):
        self.starts += 1
        name = f"{self.address}/{self.acceptor.generation}/{self.starts}"
        self.proposer = Proposer(self, name, sleep=lambda _seconds: asyncio.sleep(0))

    def lose_power(self):
        self.acceptor = Acceptor(self.address, self.records, SEEDS, False)
        self.restart_proposer()

    def wipe(self):
        self.records = MemoryRecords()
        self.lose_power()

    def current_view(self):
        return self.acceptor.view

    def learn_view(self, view):
        self.acceptor.learn_view(view)

    async def call(self, peer, call):
        copy = messages_pb2.StoreCall.FromString(call.SerializeToString())
        copy.sender = self.address
        copy.sender_life = self.acceptor.generation
        store = self.system.stores[peer]
        if peer == self.address:
            return answer_call(self.acceptor, copy)

        def deliver():
            return answer_call(store.acceptor, copy)

        deliver.peer = peer
        answer = await self.system.network.send(deliver)
        # The answer may be lost too, after the peer has acted.
        return await self.system.network.send(lambda: answer)
