"""Late orders: the guard against stalls, the gate, fences by number, hedging."""

import asyncio
import json
import socket

import pytest

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.http_connections.answer import Answer
from marblefold.http_connections.call_router import json_answer
from marblefold.http_connections.http_server import HttpServer
from marblefold.maintenance.duty import MaintenanceDuty
from marblefold.node_config.reading import Address
from marblefold.register_store.call_kinds import RegisterCallKind
from marblefold.register_store.changes import (
    EvacuationState,
    RegisterContent,
    evacuate_for_window,
    release_from_window,
    set_evacuation,
)
from marblefold.register_store.view import View
from marblefold.registry.fenced_orders import set_fenced
from marblefold.registry.hedging import ask_hedged
from marblefold.registry.order_gate import ORDER_SECONDS, OrderGate, check_order
from marblefold.registry.quorum_contact import QuorumContact
from marblefold.registry.stall_guard import STALL_SECONDS, StallGuard

MEMBERS = ("a", "b", "c", "d", "e")
VIEW = View(1, "first", MEMBERS)


def ask(router, method, path):
    """The status of a call without a body."""

    async def read_body(_bound, _most):
        return b"", True

    fields = {"method": method, "path": path, "headers": (), "read_body": staticmethod(read_body)}
    return asyncio.run(router.handle(type("Request", (), fields)())).status


class Clock:
    """A steady clock that the test turns."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.mark.parametrize("gap", [STALL_SECONDS * 0.9, 20.0])
def test_after_a_stall_all_is_suspect_for_a_while(gap):
    clock = Clock()
    guard = StallGuard(clock, lambda _count: None)
    guard.mark()
    clock.now += gap
    assert guard.is_suspect() == (gap > STALL_SECONDS)


@pytest.mark.parametrize("is_time_first", [False, True])
def test_a_stall_is_over_when_the_loop_went_round_and_time_went_by(is_time_first):
    clock, rounds = Clock(), []
    guard = StallGuard(clock, rounds.append)
    guard.mark()
    clock.now += 20.0
    assert guard.is_suspect()

    def go_round():
        while rounds:
            assert guard.is_suspect()
            rounds.pop()()

    def pass_time():
        clock.now += 0.2

    first, second = (pass_time, go_round) if is_time_first else (go_round, pass_time)
    first()
    assert guard.is_suspect()
    second()
    assert not guard.is_suspect()


def test_an_order_that_lay_in_the_kernel_through_a_freeze_is_answered_503_unexecuted():
    """Real sockets: the order is sent while the loop stands still."""
    clock, ran = Clock(), []
    guard = StallGuard(clock)
    router = OrderGate(guard, QuorumContact(clock), clock)

    async def execute(call):
        try:
            check_order()
        except MeshError as error:
            return json_answer(503, {"reason": str(error)})
        ran.append(call.subject)
        return Answer(200)

    router.add("PUT", "/do/{}", execute)
    server = HttpServer(router.handle)
    loop = asyncio.new_event_loop()
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]

    def send_order(name):
        """A client in another process: the kernel takes all of it."""
        client = socket.create_connection(("127.0.0.1", port))
        client.sendall(f"PUT /do/{name} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
        return client

    async def read_status(client):
        client.setblocking(False)
        return int((await loop.sock_recv(client, 4096)).split(b" ")[1])

    async def begin():
        await server.start(Address("127.0.0.1", port))
        guard.mark()

    loop.run_until_complete(begin())
    waiting = [send_order(f"late-{number}") for number in range(5)]
    clock.now += 20.0
    assert [loop.run_until_complete(read_status(one)) for one in waiting] == [503] * 5
    clock.now += 0.2
    after = send_order("after")
    assert loop.run_until_complete(read_status(after)) == 200 and ran == ["after"]
    for client in (*waiting, after):
        client.close()
    server.stop()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()


@pytest.mark.parametrize("took", [0.4, 0.6])
@pytest.mark.parametrize("may_be_old", [False, True])
def test_only_what_has_a_number_of_its_own_may_take_long_to_check(took, may_be_old):
    clock, ended = Clock(), []
    router = OrderGate(StallGuard(clock), QuorumContact(clock), clock)

    async def execute(_call):
        # Reading a large configuration keeps the processor busy.
        clock.now += took
        try:
            check_order(may_be_old)
        except MeshError:
            ended.append("refused")
        else:
            ended.append("executed")
        return Answer(200)

    router.add("PUT", "/x", execute)
    assert ask(router, "PUT", "/x") == 200
    is_refused = took > ORDER_SECONDS and not may_be_old
    assert ended == ["refused" if is_refused else "executed"]


@pytest.mark.parametrize("status", [200, 400, 404, 409, 503])
def test_out_of_contact_nothing_is_refused_for_good(status):
    clock = Clock()
    contact = QuorumContact(clock)
    router = OrderGate(StallGuard(clock), contact, clock)

    async def answer(_call):
        return json_answer(status, {})

    router.add("PUT", "/x", answer)
    router.add("GET", wire_names.OWNERS_PATH, answer)

    assert ask(router, "PUT", "/x") == (status if status in (200, 503) else 503)
    assert ask(router, "GET", wire_names.OWNERS_PATH) == 503
    for store in MEMBERS:
        contact.take_vote(store, VIEW, clock.now)
    assert ask(router, "PUT", "/x") == ask(router, "GET", wire_names.OWNERS_PATH) == status


CHANGES = {"window-empty": evacuate_for_window, "window-release": release_from_window}


class Registers:
    """One register as the stores change it, with what others do in between."""

    def __init__(self, number, value, others=()):
        self.number, self.value, self.others = number, value, list(others)
        self.history = [value]

    async def ask(self, kind, _register, number=0, value=b""):
        if kind != "describe":
            for other in self.others:
                self.put(other)
            self.others.clear()
            if number == self.number:
                changed = CHANGES.get(kind, set_evacuation(value))(
                    RegisterContent(self.number, self.value)
                )
                if changed.number != self.number:
                    self.put(changed.value)
        return type("RegisterContent", (), {"number": self.number, "value": self.value})

    def put(self, value):
        self.number, self.value = self.number + 1, value
        self.history.append(value)


@pytest.mark.parametrize(
    "others, ends",
    [
        ((), b"on"),
        ((b"off",), b"on"),
        ((b"on",), b"on"),
        ((b"on", b"off"), None),
        ((b"off", b"on"), b"on"),
    ],
)
def test_an_order_takes_effect_once_and_says_so_or_is_unclear(others, ends):
    registers = Registers(3, b"off", others)
    try:
        asyncio.run(set_fenced(registers, "evacuation/z", EvacuationState.ON, lambda: 3))
    except MeshError:
        assert ends is None
    else:
        assert registers.value == ends
    assert registers.history.count(b"on") <= 1 + others.count(b"on")


@pytest.mark.parametrize(
    "kind, before, others, after",
    [
        ("window-empty", b"off", (), b"window"),
        ("window-empty", b"on", (), b"on"),
        ("window-empty", b"off", (b"on", b"off"), b"off"),
        ("window-release", b"window", (), b"off"),
        ("window-release", b"on", (), b"on"),
        # The window ended and another began meanwhile: its zone stays empty.
        ("window-release", b"window", (b"off", b"window"), b"window"),
    ],
)
def test_what_a_window_empties_is_fenced_by_the_register(kind, before, others, after):
    registers = Registers(5, before, others)
    duty = MaintenanceDuty(registers, None)
    state = asyncio.run(duty._change_zone(RegisterCallKind(kind), "z"))
    assert state.value == registers.value
    assert registers.value == after


def test_hedging_asks_on_after_a_failure_at_once_and_tells_the_last_error():
    asked = []

    async def ask(peer, _seconds):
        asked.append(peer)
        if peer == "c":
            return json.dumps(peer)
        raise MeshError("ask", "no", peer)

    assert asyncio.run(ask_hedged("abcd", ask, 60.0, 60.0)) == '"c"' and asked == ["a", "b", "c"]
    with pytest.raises(MeshError, match="with b"):
        asyncio.run(ask_hedged("ab", ask, 60.0, 60.0))
