"""Connections of clients and targets, over a transport made of lists."""

import asyncio

import pytest

from marblefold.errors import MeshError
from marblefold.http_connections.answer import Answer
from marblefold.http_connections.client_connection import ClientConnection
from marblefold.http_connections.client_request import BodyTooLarge
from marblefold.http_connections.target_connection import (
    ConnectionLostUnused,
    ConnectionState,
    TargetConnection,
)


class FakeTransport:
    """Remembers what was written and whether it was ended."""

    def __init__(self):
        self.written = b""
        self.closed = self.aborted = False

    def write(self, data):
        self.written += data

    def close(self):
        self.closed = True

    def abort(self):
        self.aborted = True

    def get_extra_info(self, name):
        return None

    def pause_reading(self):
        pass

    resume_reading = pause_reading


class Keeper:
    """A server that answers each request when the test says so."""

    is_leaving = False
    header_bytes = 1000

    def __init__(self):
        self.requests, self.answers = [], {}

    def on_connection_made(self, connection):
        pass

    on_connection_lost = on_connection_made

    def may_run_concurrently(self, request):
        return True

    async def handle(self, request):
        self.requests.append(request)
        future = asyncio.get_running_loop().create_future()
        self.answers[request.path] = future
        return await future


def run(test):
    asyncio.run(test())


async def turns():
    for _ in range(5):
        await asyncio.sleep(0)


def make_client():
    keeper, transport = Keeper(), FakeTransport()
    connection = ClientConnection(keeper)
    connection.connection_made(transport)
    return keeper, transport, connection


def make_target():
    transport = FakeTransport()
    connection = TargetConnection()
    connection.connection_made(transport)
    return connection, transport


def test_pipelined_reads_run_together_and_are_answered_in_order():
    async def test():
        keeper, transport, connection = make_client()
        connection.data_received(
            b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
        )
        await turns()
        assert [request.path for request in keeper.requests] == ["/1", "/2"]
        keeper.answers["/2"].set_result(Answer(200, body=b"two"))
        await turns()
        assert transport.written == b""
        keeper.answers["/1"].set_result(Answer(200, body=b"one"))
        await turns()
        assert transport.written.index(b"one") < transport.written.index(b"two")

    run(test)


def test_what_may_not_be_repeated_waits_for_its_turn():
    async def test():
        keeper, transport, connection = make_client()
        post = b"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
        connection.data_received(post % 1 + post % 2)
        await turns()
        assert [request.path for request in keeper.requests] == ["/1"]
        assert await keeper.requests[0].read_body(10, 10) == (b"x", True)
        keeper.answers["/1"].set_result(Answer(200))
        await turns()
        assert [request.path for request in keeper.requests] == ["/1", "/2"]

    run(test)


@pytest.mark.parametrize(
    "head, status",
    [
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", b"400"),
        (
            (
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
            ),
            b"400",
        ),
        (b"GET / HTTP/1.1\r\nHost: h\r\n bad\r\n\r\n", b"400"),
        (b"no request at all\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 1100 + b"\r\n\r\n", b"431"),
        (
            b"GET / HTTP/1.1\r\nHost: h\r\n"
            b"A: " + b"b" * 300 + b"\r\nC: " + b"d" * 900 + b"\r\n\r\n",
            b"431",
        ),
    ],
)
def test_heads_that_could_smuggle_are_refused_and_end_the_connection(head, status):
    async def test():
        keeper, transport, connection = make_client()
        connection.data_received(head)
        await turns()
        assert transport.written.startswith(b"HTTP/1.1 " + status)
        assert transport.closed and not keeper.requests

    run(test)


def test_a_body_that_waits_for_a_word_gets_it_when_it_is_wanted():
    async def test():
        keeper, transport, connection = make_client()
        connection.data_received(
            b"POST /1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        await turns()
        assert transport.written == b""
        gathered = asyncio.ensure_future(keeper.requests[0].read_body(100, 100))
        await turns()
        assert transport.written == b"HTTP/1.1 100 Continue\r\n\r\n"
        connection.data_received(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        assert await gathered == (b"abcde", True)

    run(test)


def test_headers_of_one_connection_stay_there_and_the_others_keep_their_order():
    async def test():
        keeper, _transport, connection = make_client()
        connection.data_received(
            b"GET /1 HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nConnection: close, X-Hop\r\n"
            b"X-Hop: no\r\nx-a: 2\r\nTE: trailers\r\nDeadline-Ms: 5\r\n"
            b"Caller-Service: liar\r\nAttempt-Id: i\r\n\r\n"
        )
        await turns()
        request = keeper.requests[0]
        assert request.header_block() == (b"Host: h\r\nX-A: 1\r\nx-a: 2\r\nAttempt-Id: i\r\n")
        assert request.deadline_ms == 5.0 and request.closes

    run(test)


def test_a_body_over_the_limit_is_told_before_it_is_gathered():
    async def test():
        keeper, _transport, connection = make_client()
        connection.data_received(b"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n")
        await turns()
        with pytest.raises(BodyTooLarge):
            await keeper.requests[0].read_body(1000, 50)

    run(test)


def test_a_client_that_leaves_ends_the_work_for_it():
    async def test():
        keeper, _transport, connection = make_client()
        connection.data_received(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
        await turns()
        connection.connection_lost(None)
        await turns()
        assert keeper.answers["/1"].cancelled()

    run(test)


ANSWER = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: 2\r\n\r\n%s"


def test_a_late_surplus_answer_is_told_apart_by_its_id():
    async def test():
        connection, _transport = make_target()
        await connection.send_head(b"GET", b"mine")
        connection.data_received(ANSWER % (b"other", b"no") + ANSWER % (b"mine", b"ok"))
        answer = await connection.answer()
        assert await answer.payload.read() == b"ok"
        # Its bytes cannot be trusted any further.
        assert not connection.finish() and connection.state is ConnectionState.CLOSED

    run(test)


def test_surplus_bytes_on_an_idle_connection_end_it():
    async def test():
        connection, transport = make_target()
        connection.data_received(ANSWER % (b"x", b"no"))
        assert connection.state is ConnectionState.CLOSED and transport.aborted

    run(test)


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x01garbage\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    ],
)
def test_what_cannot_be_the_answer_breaks_off(data):
    async def test():
        connection, _transport = make_target()
        await connection.send_head(b"GET", b"mine")
        connection.data_received(data)
        with pytest.raises(MeshError):
            await connection.answer()

    run(test)


@pytest.mark.parametrize("is_reset", [False, True])
def test_an_answer_without_a_length_is_whole_only_if_its_connection_ends_in_order(is_reset):
    async def test():
        connection, transport = make_target()
        await connection.send_head(b"GET", b"mine")
        connection.data_received(b"HTTP/1.1 200 OK\r\nAttempt-Id: mine\r\n\r\nto the end")
        answer = await connection.answer()
        # Nothing ends it but the connection.
        assert not answer.payload.is_eof()
        if is_reset:
            connection.connection_lost(ConnectionResetError("reset"))
            with pytest.raises(ConnectionError):
                await answer.payload.read()
        else:
            connection.eof_received()
            connection.connection_lost(None)
            assert await answer.payload.read() == b"to the end"
        assert not connection.finish()

    run(test)


def test_nothing_is_written_to_a_connection_that_went_before_it_was_used():
    async def test():
        connection, transport = make_target()
        connection.connection_lost(None)
        with pytest.raises(ConnectionLostUnused):
            await connection.send_head(b"GET", b"mine")
        assert transport.written == b""

    run(test)


def test_an_answer_cut_off_never_looks_whole():
    async def test():
        connection, _transport = make_target()
        await connection.send_head(b"GET", b"mine")
        connection.data_received(
            b"HTTP/1.1 200 OK\r\nAttempt-Id: mine\r\nContent-Length: 9\r\n\r\nhalf"
        )
        answer = await connection.answer()
        connection.connection_lost(None)
        with pytest.raises(ConnectionError):
            await answer.payload.read()

    run(test)


def test_a_refusal_may_come_without_an_id_and_keep_alive_bounds_the_reuse():
    async def test():
        connection, _transport = make_target()
        await connection.send_head(b"GET", b"mine")
        connection.data_received(
            b"HTTP/1.1 503 no\r\nNot-Executed: 1\r\nKeep-Alive: timeout=0\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        assert (await connection.answer()).is_not_executed
        assert not connection.finish()

    run(test)
