"""Connections made of lists, on a loop that opens them and a clock that a test moves.

Nothing here waits: a test moves bytes and time itself, and lets the loop turn.
"""

import asyncio
import time
from types import SimpleNamespace
from unittest import mock


class InMemoryTransport:
    """Keeps what its protocol writes until the test moves it."""

    def __init__(self, protocol, loop, address=""):
        self.protocol, self._loop, self.address = protocol, loop, address
        self.written = bytearray()
        self.moved = 0
        self.is_open = True
        # Called in the moment in which something is written.
        self.on_write = lambda: None

    def write(self, data):
        if self.is_open:
            self.written += data
            self.on_write()

    def close(self):
        self.lose(None)

    abort = close

    def is_closing(self):
        return not self.is_open

    def lose(self, error):
        """The connection is gone; its protocol hears of it in the next turn."""
        if self.is_open:
            self.is_open = False
            self._loop.call_soon(self.protocol.connection_lost, error)

    def finish(self):
        """The other end closed in order."""
        if self.is_open:
            if hasattr(self.protocol, "eof_received"):
                self.protocol.eof_received()
            self.lose(None)

    def reset(self):
        self.lose(ConnectionResetError("reset"))

    def take(self, most=None):
        """What was written and not taken yet, or the first part of it."""
        end = len(self.written) if most is None else min(len(self.written), self.moved + most)
        data = bytes(self.written[self.moved : end])
        self.moved = end
        return data

    def get_extra_info(self, _name):
        return SimpleNamespace(family=None, setsockopt=lambda *_option: None)

    def pause_reading(self):
        pass

    resume_reading = pause_reading


class InMemoryEventLoop(asyncio.SelectorEventLoop):
    """Opens connections by asking the test, which makes the other end."""

    # Given the address and the near transport; an OSError refuses.
    connector = staticmethod(lambda address, transport: None)
    # Connections open only once this event is set, if there is one.
    gate: asyncio.Event | None = None

    async def create_connection(self, make_protocol, host=None, port=None, **_more):
        if self.gate is not None:
            await self.gate.wait()
        protocol = make_protocol()
        transport = InMemoryTransport(protocol, self, f"{host}:{port}")
        self.connector(transport.address, transport)
        protocol.connection_made(transport)
        return transport, protocol


class Simulation:
    """A loop and a clock for one run of a state machine."""

    def __init__(self):
        self.now = 1000.0
        self._patch = mock.patch.object(time, "monotonic", lambda: self.now)
        self._patch.start()
        self.loop = InMemoryEventLoop()
        # What was found wrong inside the programs' own tasks, which go on.
        self.faults = []

    def expect(self, holds, *what):
        """As assert, from inside a task that would take an error for its own."""
        if not holds:
            self.faults.append(what)

    def turn(self, turns=8):
        async def turn():
            for _turn in range(turns):
                await asyncio.sleep(0)

        self.loop.run_until_complete(turn())

    def call(self, function, *values):
        """Calls the function from inside the loop, and lets it turn."""

        async def call():
            return function(*values)

        result = self.loop.run_until_complete(call())
        self.turn()
        return result

    def start(self, coroutine):
        task = self.loop.create_task(coroutine)
        self.turn()
        return task

    def advance(self, seconds):
        self.now += seconds
        self.turn()

    def close(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.turn()
        self.loop.close()
        self._patch.stop()
