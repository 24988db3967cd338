"""The receiving end of hops: one generation of a peer, which answers when the test says so."""

import asyncio

from marblefold.errors import MeshError
from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.messages import messages_pb2


class Body:
    """The body of a request, read in parts of five bytes."""

    method = "POST"

    def __init__(self, content):
        self._parts = [content[start : start + 5] for start in range(0, len(content), 5)]

    async def read_chunk(self, _max_bytes):
        return self._parts.pop(0) if self._parts else b""


class ReceivedHop:
    """A hop as the receiving peer has it."""

    def __init__(self, name, exchange, simulation):
        self.name, self.exchange, self.is_cancelled, self.is_over = name, exchange, False, False
        self.tasks, self.body = [], None
        # Set when the rest of a long answer may be sent.
        self.can_finish, self.is_answering = asyncio.Event(), False
        exchange.on_cancel = self.cancel
        self.simulation = simulation

    def cancel(self):
        self.is_cancelled = self.is_over = True
        for task in self.tasks:
            task.cancel()
        self.exchange.close()

    async def read(self):
        body = b""
        try:
            while chunk := await self.exchange.incoming.read():
                body += chunk
                self.exchange.grant_credit(len(chunk))
        except MeshError:
            return
        self.body = body

    async def answer_at_length(self, head):
        self.exchange.send(FrameKind.ANSWER, head.SerializeToString())
        try:
            await self.exchange.send_body(b"answer ")
            await self.can_finish.wait()
            await self.exchange.send_body(b"of " + self.name.encode())
        except MeshError:
            return
        self.exchange.send(FrameKind.BODY_END)
        self.exchange.close()
        self.is_over = True


class SimulatedPeer:
    """One generation of the peer."""

    def __init__(self, machine):
        self.machine, self.hops = machine, []

    def on_hop(self, exchange, payload):
        head = messages_pb2.RequestHead.FromString(payload)
        hop = ReceivedHop(head.attempt_id, exchange, self.machine.simulation)
        self.hops.append(hop)
        self.machine.hops.append(hop)
        if head.body_follows:
            exchange.grant_credit(7)
            hop.tasks.append(self.machine.simulation.loop.create_task(hop.read()))

    def on_lost(self, connection):
        pass
