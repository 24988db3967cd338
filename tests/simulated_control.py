"""All control calls of a registry behind its real router and HTTP connection.

Only the stores are stood in for: registers in memory, changed by the real
orders.  The test sends bytes and gets bytes back.
"""

import asyncio
import json
import os
import re
from types import SimpleNamespace

from marblefold.errors import MeshError
from marblefold.history.keeper import HistoryKeeper
from marblefold.http_connections.call_router import CallRouter
from marblefold.http_connections.client_connection import ClientConnection
from marblefold.inner_protocol.messages import kinds
from marblefold.maintenance.calls import MaintenanceCalls
from marblefold.ownership.calls import Claimed, OwnerCalls
from marblefold.partners.calls import PartnerCalls
from marblefold.partners.duty import PartnerDuty
from marblefold.register_store.changes import RegisterContent
from marblefold.register_store.orders import read_order
from marblefold.registry.control_calls import ControlCalls
from marblefold.rehearsal.calls import RehearsalCalls
from marblefold.tracing.calls import TraceCalls
from marblefold.tracing.collector import Collector

ZONES = {"hall-a", "hall-b"}
CAPACITY = {"quotes": 100}


class MemoryStores:
    """What a majority would hold; it may be out of reach."""

    def __init__(self):
        self.held = {}
        self.is_reachable = True

    async def ask(self, kind, register, number=0, value=b""):
        if not self.is_reachable:
            raise MeshError(kind, "no majority")
        call = kinds.RegisterCall(
            kind=kind, register=register, number=number, value=value, order=os.urandom(12)
        )
        order = read_order(kinds.RegisterCall.FromString(call.SerializeToString()))
        before = self.held.get(register, RegisterContent(0, b""))
        held = order.change(before)
        if held != before:
            self.held[register] = held
        return kinds.RegisterAnswer(
            outcome=order.outcome_of(held), number=held.number, value=held.value
        )


class Transport(asyncio.Transport):
    """Keeps what was written."""

    def __init__(self):
        super().__init__()
        self.written = bytearray()
        self.is_closed = False

    def write(self, data):
        self.written += data

    def close(self):
        self.is_closed = True

    abort = close

    def is_closing(self):
        return self.is_closed

    def pause_reading(self):
        """Nothing reads here."""

    def resume_reading(self):
        """Nothing reads here."""


async def _no_sleep(_seconds):
    await asyncio.sleep(0)


class Control:
    """One registry's control side; each request has a connection of its own."""

    is_leaving = False
    header_bytes = 16384

    def __init__(self, history_folder=""):
        self.stores = MemoryStores()
        self.router = CallRouter()
        duty = PartnerDuty(self.stores, lambda: False)
        history = HistoryKeeper(history_folder)
        self.parts = (
            TraceCalls(Collector(100), lambda: 0.0),
            history,
            RehearsalCalls(self.stores, dict),
            PartnerCalls(self.stores, duty, dict, sleep=_no_sleep),
            OwnerCalls(self.stores, lambda: Claimed({}, {})),
            MaintenanceCalls(self.stores, lambda: ZONES, lambda: CAPACITY),
            ControlCalls(self.stores, lambda: ZONES, dict),
        )
        for part in self.parts:
            part.add_to(self.router)
        self.history = history

    async def handle(self, request):
        return await self.router.handle(request)

    def on_connection_made(self, connection):
        """Nobody counts connections here."""

    def on_connection_lost(self, connection):
        """Nobody counts connections here."""

    async def send(self, data, ends=False):
        """The status and document that come for the bytes; None where nothing does."""
        transport = Transport()
        connection = ClientConnection(self)
        connection.connection_made(transport)
        connection.data_received(bytes(data))
        if ends:
            connection.connection_lost(None)
        for _ in range(2000):
            if transport.written and connection.is_idle:
                break
            await asyncio.sleep(0)
            if self.history_is_busy():
                await asyncio.sleep(0.001)
        return read_answer(bytes(transport.written))

    def history_is_busy(self):
        return bool(self.history._folder)

    def call(self, method, path, body=b"", headers=()):
        """One whole call."""
        return asyncio.run(self.send(pack_request(method, path, body, headers)))


def pack_request(method, path, body=b"", headers=()):
    """The bytes of a request."""
    lines = [
        f"{method} {path} HTTP/1.1".encode("utf-8", "surrogateescape"),
        b"Host: control",
        b"Content-Length: %d" % len(body),
        *headers,
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def read_answer(data):
    """Status and document, after a check that the answer is whole."""
    if not data:
        return None
    head, sign, body = data.partition(b"\r\n\r\n")
    assert sign, data
    status = int(head.split(b" ", 2)[1])
    length = int(re.search(rb"(?i)content-length: *(\d+)", head)[1])
    assert len(body) == length, data
    is_json = b"application/json" in head
    return SimpleNamespace(status=status, head=head, document=json.loads(body) if is_json else body)
