"""Loops, connections and messages of simulated core machines."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from marblefold.errors import MeshError


class Message(NamedTuple):
    """Bytes under way; act runs at the target when they are read there."""

    number: int
    sent: float
    source: str
    target: str
    act: Callable[[], object]


class Loop(asyncio.SelectorEventLoop):
    """A loop on the clock of the world that turns when it is told to."""

    def __init__(self, world):
        self.world = world
        super().__init__()

    def time(self):
        return self.world.now

    @property
    def is_due(self):
        """Whether a turn would do anything."""
        timer = self._scheduled[0].when() if self._scheduled else self.world.now + 1
        return bool(self._ready) or timer <= self.world.now

    def turn(self):
        self.call_soon(self.stop)
        self.run_forever()


class Connection:
    """One process's connection to a store, over the world's links."""

    is_open = True

    def __init__(self, world, source, target, owner):
        self.world, self.source, self.peer, self.owner = world, source, target, owner

    async def call(self, payload, seconds):
        loop = asyncio.get_running_loop()
        answer = loop.create_future()

        def answered(data):
            if not answer.done():
                answer.set_result(data)

        def read():
            self.world.machines[self.peer].serve(self, payload, answered)

        self.world.send(self.source, self.peer, read)
        try:
            async with asyncio.timeout(seconds):
                return await answer
        except TimeoutError:
            raise MeshError("call", "no reply in time", self.peer) from None

    def send(self, kind, _number, payload):
        """From a store to the registry that watches, or from store to store."""
        if self.owner is not None:
            self.world.send(self.peer, self.source, lambda: self.owner.on_tell(self, payload))
        else:
            target = self.world.machines[self.peer]
            self.world.send(self.source, self.peer, lambda: target.program.on_tell(self, payload))


class Peers:
    """Connections that are always there; what goes over them may be lost."""

    def __init__(self, world, source):
        self.world, self.source, self.owner, self.known = world, source, None, {}

    def find(self, peer):
        return self.known.setdefault(peer, Connection(self.world, self.source, peer, self.owner))

    async def reach(self, peer):
        return self.find(peer)
