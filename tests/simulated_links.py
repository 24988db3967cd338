"""Event loops, connections and messages of simulated core machines."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from marblefold.errors import MeshError


class Message(NamedTuple):
    """A message in flight; `receive` runs when the target reads it."""

    number: int
    sent_at: float
    source: str
    target: str
    receive: Callable[[], object]


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop on the cluster's clock; it runs one iteration at a time, on request."""

    def __init__(self, cluster):
        self.cluster = cluster
        super().__init__()

    def time(self):
        return self.cluster.now

    @property
    def is_due(self):
        """Whether an iteration would run anything."""
        timer = self._scheduled[0].when() if self._scheduled else self.cluster.now + 1
        return bool(self._ready) or timer <= self.cluster.now

    def run_once(self):
        self.call_soon(self.stop)
        self.run_forever()


class SimulatedConnection:
    """The connection of one process to a store, over the cluster's links."""

    is_open = True

    def __init__(self, cluster, source, target, owner):
        self.cluster, self.source, self.peer, self.owner = cluster, source, target, owner

    async def call(self, payload, seconds):
        loop = asyncio.get_running_loop()
        answer = loop.create_future()

        def complete(data):
            if not answer.done():
                answer.set_result(data)

        def read():
            self.cluster.machines[self.peer].serve(self, payload, complete)

        self.cluster.send(self.source, self.peer, read)
        try:
            async with asyncio.timeout(seconds):
                return await answer
        except TimeoutError:
            raise MeshError("call", "no reply in time", self.peer) from None

    def send(self, kind, _number, payload):
        """Sends from a store to the registry that watches it, or from store to store."""
        if self.owner is not None:
            self.cluster.send(self.peer, self.source, lambda: self.owner.on_tell(self, payload))
        else:
            target = self.cluster.machines[self.peer]
            self.cluster.send(self.source, self.peer, lambda: target.program.on_tell(self, payload))


class SimulatedPeers:
    """Connections that always exist; messages over them may be lost."""

    def __init__(self, cluster, source):
        self.cluster, self.source, self.owner, self.known = cluster, source, None, {}

    def find(self, peer):
        return self.known.setdefault(
            peer, SimulatedConnection(self.cluster, self.source, peer, self.owner)
        )

    async def reach(self, peer):
        return self.find(peer)
