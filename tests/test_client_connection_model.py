"""Tests a client's connection against a model of the order of its answers.

Requests arrive in arbitrary fragments and are pipelined, the server completes them in
any order, with buffered or streamed bodies, and the client may disconnect at any time.
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

INDEX = st.integers(0, 10_000)
REQUESTS = {
    "read": b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n",
    # The method may be repeated, but the route forbids it.
    "unsafe get": b"GET /unsafe/%d HTTP/1.1\r\nHost: h\r\n\r\n",
    "post": b"POST /unsafe/%d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nGET /",
    "chunked": b"POST /unsafe/%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nGET /\r\n0\r\n\r\n",
    "last": b"GET /%d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
}
ANSWER_HEAD = re.compile(
    rb"HTTP/1\.1 200 OK\r\n(?:Connection: close\r\n|Content-Length: (\d+)\r\n"
    rb"|(Transfer-Encoding: chunked\r\n))+\r\n"
)


def read_answers(data):
    """Returns the bodies of the complete answers, and whether a partial one follows."""
    bodies = []
    while data:
        head = ANSWER_HEAD.match(data)
        assert head is not None, data
        data = data[head.end() :]
        if head[2] is None:
            body, data = data[: int(head[1])], data[int(head[1]) :]
        else:
            body = b""
            while not data.startswith(b"0\r\n\r\n"):
                size, separator, rest = data.partition(b"\r\n")
                if not separator or len(rest) < int(size, 16) + 2:
                    return bodies, True
                body += rest[: int(size, 16)]
                data = rest[int(size, 16) + 2 :]
            data = data[5:]
        bodies.append(body)
    return bodies, False


class ServedRequest:
    """One request that the server is handling, and what the test answers to it."""

    def __init__(self, request):
        self.number = int(request.path.rpartition("/")[2])
        self.is_unsafe = "/unsafe/" in request.path
        self.future = asyncio.get_running_loop().create_future()
        self.is_answered = self.closes = self.is_released = self.is_aborted = False
        # Whether the handler has read the body, so that it can answer; whether it has ended.
        self.may_answer = self.has_ended = False
        self.pipe, self.parts = None, []


class ClientModel(RuleBasedStateMachine):
    is_leaving = False
    header_bytes = 4000

    def __init__(self):
        super().__init__()
        self.simulation = Simulation()
        self.kinds, self.undelivered, self.served = [], b"", []
        self.has_disconnected = False
        self.connection = self.simulation.call(ClientConnection, self)
        self.transport = InMemoryTransport(self.connection, self.simulation.loop)
        self.simulation.call(self.connection.connection_made, self.transport)

    def teardown(self):
        self.disconnect()
        try:
            for served in self.served:
                # Its handler has ended or was cancelled, and the answer at hand was released.
                assert served.has_ended
                assert served.future.done() or not served.may_answer
                assert served.pipe is None or served.is_released
        finally:
            self.simulation.close()

    def on_connection_made(self, _connection):
        pass

    on_connection_lost = on_connection_made

    def may_run_concurrently(self, request):
        return "/unsafe/" not in request.path

    async def handle(self, request):
        served = ServedRequest(request)
        bodies, is_partial = read_answers(bytes(self.transport.written))
        if served.is_unsafe:
            # Every earlier request has been answered.  Otherwise one of those answers
            # could close the connection, and the client would send again a request
            # that has already begun.
            is_first = len(bodies) == served.number and not is_partial and self.transport.is_open
            self.simulation.expect(is_first, "begun before its turn", served.number)
        self.simulation.expect(
            served.number not in [other.number for other in self.served], "twice"
        )
        self.served.append(served)
        try:
            return await self.answer_when_told(request, served)
        finally:
            served.has_ended = True

    async def answer_when_told(self, request, served):
        if request.has_body:
            self.simulation.expect(await request.read_body(100, 100) == (b"GET /", True), "body")
        served.may_answer = True
        return await served.future

    @rule(kinds=st.lists(st.sampled_from(["read", "read", *REQUESTS]), min_size=1, max_size=4))
    def send(self, kinds):
        for kind in kinds:
            # After a request with Connection: close the client sends nothing more.
            if "last" in self.kinds:
                return
            self.undelivered += REQUESTS[kind] % len(self.kinds)
            self.kinds.append(kind)

    @rule(size=st.sampled_from([1, 9, 31, 5000, 5000]))
    def deliver(self, size):
        data, self.undelivered = self.undelivered[:size], self.undelivered[size:]
        if data and self.transport.is_open:
            self.simulation.call(self.connection.data_received, data)

    @rule(
        index=INDEX,
        style=st.sampled_from(["short", "short", "long", "long", "broken"]),
        closes=st.sampled_from([False] * 5 + [True]),
    )
    def answer(self, index, style, closes):
        waiting = [
            served for served in self.served if served.may_answer and not served.future.done()
        ]
        if not waiting:
            return
        served = waiting[index % len(waiting)]
        body = b"answer %d" % served.number
        served.closes, served.is_answered = closes, True
        if style == "short":
            served.parts = [body]
            self.simulation.call(served.future.set_result, Answer(200, body=body, closes=closes))
            return
        served.pipe = self.simulation.call(BodyPipe)

        def release():
            served.is_released = True

        self.simulation.call(
            served.future.set_result,
            Answer(200, pipe=served.pipe, closes=closes, release=release),
        )
        if style == "broken":
            self.abort_answer(served)

    def abort_answer(self, served):
        served.is_aborted = True
        served.parts.append(b"")
        self.simulation.call(served.pipe.fail, MeshError("answer", "cut"))

    @rule(index=INDEX, end=st.sampled_from(["more", "whole", "whole", "broken"]))
    def continue_answer(self, index, end):
        pipes = [served for served in self.served if served.pipe and not served.is_released]
        pipes = [served for served in pipes if served.parts[-1:] != [b""]]
        if not pipes:
            return
        served = pipes[index % len(pipes)]
        if end == "broken":
            self.abort_answer(served)
        elif end == "whole":
            remaining = (b"answer %d" % served.number)[len(b"".join(served.parts)) :]
            self.simulation.call(served.pipe.feed, remaining) if remaining else None
            served.parts += [remaining, b""]
            self.simulation.call(served.pipe.finish)
        elif len(b"".join(served.parts)) < 4:
            served.parts.append(b"an" if not served.parts else b"sw")
            self.simulation.call(served.pipe.feed, served.parts[-1])

    @rule(rarely=st.integers(0, 9))
    def maybe_disconnect(self, rarely):
        if not rarely:
            self.disconnect()

    def disconnect(self):
        self.has_disconnected = True
        self.simulation.call(self.transport.reset)

    @invariant()
    def answers_are_complete_and_in_order(self):
        assert self.simulation.faults == []
        bodies, is_partial = read_answers(bytes(self.transport.written))
        for number, body in enumerate(bodies):
            served = next(served for served in self.served if served.number == number)
            assert body == b"answer %d" % number and served.is_answered and not served.is_aborted
            if served.closes or self.kinds[number] == "last":
                # Nothing follows an answer that closes the connection.
                assert len(bodies) == number + 1 and not is_partial and not self.transport.is_open
        if is_partial:
            first = next(served for served in self.served if served.number == len(bodies))
            assert first.pipe is not None
            # An aborted answer resets the connection; no last chunk is sent.
            assert not first.is_aborted or not self.transport.is_open


def test_a_client_that_leaves_while_its_body_is_read_ends_the_handler():
    model = ClientModel()
    model.send(kinds=["chunked"])
    for size in (9, 31, 31):
        model.deliver(size)
        model.answers_are_complete_and_in_order()
    assert model.served and not model.served[0].may_answer
    model.teardown()


TestClientConnections = ClientModel.TestCase
TestClientConnections.settings = settings(max_examples=200, stateful_step_count=30, deadline=None)
