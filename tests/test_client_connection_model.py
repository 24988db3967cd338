"""A client's connection against a plain model of the order in which it is answered.

Requests come in any pieces and several at a time, the server answers them in
any order, short or at length, and the client leaves when it likes.
"""

import asyncio
import re

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marblefold.errors import MeshError
from marblefold.http_connections.answer import Answer
from marblefold.http_connections.client_connection import ClientConnection
from marblefold.inner_protocol.body_pipe import BodyPipe
from tests.simulated_connections import InMemoryTransport, Simulation

CHOICE = st.integers(0, 10_000)
SENT = {
    "read": b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n",
    # By its method it could run twice; by its route it may not.
    "unsafe get": b"GET /unsafe/%d HTTP/1.1\r\nHost: h\r\n\r\n",
    "post": b"POST /unsafe/%d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nGET /",
    "chunked": b"POST /unsafe/%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nGET /\r\n0\r\n\r\n",
    "last": b"GET /%d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
}
ONE = re.compile(
    rb"HTTP/1\.1 200 OK\r\n(?:Connection: close\r\n|Content-Length: (\d+)\r\n"
    rb"|(Transfer-Encoding: chunked\r\n))+\r\n"
)


def read_answers(data):
    """The bodies of the whole answers, and whether a part of another is there."""
    bodies = []
    while data:
        head = ONE.match(data)
        assert head is not None, data
        data = data[head.end() :]
        if head[2] is None:
            body, data = data[: int(head[1])], data[int(head[1]) :]
        else:
            body = b""
            while not data.startswith(b"0\r\n\r\n"):
                size, found, rest = data.partition(b"\r\n")
                if not found or len(rest) < int(size, 16) + 2:
                    return bodies, True
                body += rest[: int(size, 16)]
                data = rest[int(size, 16) + 2 :]
            data = data[5:]
        bodies.append(body)
    return bodies, False


class Served:
    """One request at the server, until the test answers it."""

    def __init__(self, request):
        self.number = int(request.path.rpartition("/")[2])
        self.is_unsafe = "/unsafe/" in request.path
        self.future = asyncio.get_running_loop().create_future()
        self.is_answered = self.closes = self.is_released = self.is_broken = False
        self.pipe, self.parts = None, []


class ClientModel(RuleBasedStateMachine):
    is_leaving = False
    header_bytes = 4000

    def __init__(self):
        super().__init__()
        self.stage = Simulation()
        self.kinds, self.inbox, self.served = [], b"", []
        self.has_left = False
        self.connection = self.stage.call(ClientConnection, self)
        self.transport = InMemoryTransport(self.connection, self.stage.loop)
        self.stage.call(self.connection.connection_made, self.transport)

    def teardown(self):
        self.leave()
        try:
            for served in self.served:
                # Whoever works on it was told, and what was at hand is given up.
                assert served.future.done()
                assert served.pipe is None or served.is_released
        finally:
            self.stage.close()

    def on_connection_made(self, _connection):
        pass

    on_connection_lost = on_connection_made

    def may_run_concurrently(self, request):
        return "/unsafe/" not in request.path

    async def handle(self, request):
        served = Served(request)
        bodies, is_cut = read_answers(bytes(self.transport.written))
        if served.is_unsafe:
            # Nothing before it is open: what was begun is not sent again by the
            # client behind an answer that ends the connection.
            is_first = len(bodies) == served.number and not is_cut and self.transport.is_open
            self.stage.expect(is_first, "begun before its turn", served.number)
        self.stage.expect(served.number not in [other.number for other in self.served], "twice")
        self.served.append(served)
        if request.has_body:
            self.stage.expect(await request.read_body(100, 100) == (b"GET /", True), "body")
        return await served.future

    @rule(kinds=st.lists(st.sampled_from(["read", "read", *SENT]), min_size=1, max_size=4))
    def send(self, kinds):
        for kind in kinds:
            # A client that said that this is its last one sends nothing more.
            if "last" in self.kinds:
                return
            self.inbox += SENT[kind] % len(self.kinds)
            self.kinds.append(kind)

    @rule(size=st.sampled_from([1, 9, 31, 5000, 5000]))
    def move(self, size):
        data, self.inbox = self.inbox[:size], self.inbox[size:]
        if data and self.transport.is_open:
            self.stage.call(self.connection.data_received, data)

    @rule(
        choice=CHOICE,
        style=st.sampled_from(["short", "short", "long", "long", "broken"]),
        closes=st.sampled_from([False] * 5 + [True]),
    )
    def answer(self, choice, style, closes):
        waiting = [served for served in self.served if not served.future.done()]
        if not waiting:
            return
        served = waiting[choice % len(waiting)]
        own = b"answer %d" % served.number
        served.closes, served.is_answered = closes, True
        if style == "short":
            served.parts = [own]
            self.stage.call(served.future.set_result, Answer(200, body=own, closes=closes))
            return
        served.pipe = self.stage.call(BodyPipe)

        def release():
            served.is_released = True

        self.stage.call(
            served.future.set_result,
            Answer(200, pipe=served.pipe, closes=closes, release=release),
        )
        if style == "broken":
            self.break_off(served)

    def break_off(self, served):
        served.is_broken = True
        served.parts.append(b"")
        self.stage.call(served.pipe.break_off, MeshError("answer", "cut"))

    @rule(choice=CHOICE, end=st.sampled_from(["more", "whole", "whole", "broken"]))
    def go_on(self, choice, end):
        pipes = [served for served in self.served if served.pipe and not served.is_released]
        pipes = [served for served in pipes if served.parts[-1:] != [b""]]
        if not pipes:
            return
        served = pipes[choice % len(pipes)]
        if end == "broken":
            self.break_off(served)
        elif end == "whole":
            missing = (b"answer %d" % served.number)[len(b"".join(served.parts)) :]
            self.stage.call(served.pipe.feed, missing) if missing else None
            served.parts += [missing, b""]
            self.stage.call(served.pipe.finish)
        elif len(b"".join(served.parts)) < 4:
            served.parts.append(b"an" if not served.parts else b"sw")
            self.stage.call(served.pipe.feed, served.parts[-1])

    @rule(seldom=st.integers(0, 9))
    def may_leave(self, seldom):
        if not seldom:
            self.leave()

    def leave(self):
        self.has_left = True
        self.stage.call(self.transport.reset)

    @invariant()
    def answers_are_whole_and_in_order(self):
        assert self.stage.faults == []
        bodies, is_cut = read_answers(bytes(self.transport.written))
        for number, body in enumerate(bodies):
            served = next(served for served in self.served if served.number == number)
            assert body == b"answer %d" % number and served.is_answered and not served.is_broken
            if served.closes or self.kinds[number] == "last":
                # Nothing follows an answer that ends the connection.
                assert len(bodies) == number + 1 and not is_cut and not self.transport.is_open
        if is_cut:
            first = next(served for served in self.served if served.number == len(bodies))
            assert first.pipe is not None
            # What broke off ends with the connection, never with a last chunk.
            assert not first.is_broken or not self.transport.is_open


TestClientConnections = ClientModel.TestCase
TestClientConnections.settings = settings(max_examples=200, stateful_step_count=30, deadline=None)
