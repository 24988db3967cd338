"""Late commands: stall detection, age and contact checks, fenced writes, hedged calls."""

import asyncio
import json
import socket

import pytest

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.http_connections.answer import Answer
from marblefold.http_connections.call_router import json_answer
from marblefold.http_connections.http_server import HttpServer
from marblefold.maintenance.coordinator import MaintenanceCoordinator
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
from marblefold.registry.command_router import COMMAND_MAX_AGE_SECONDS, CommandRouter, check_command
from marblefold.registry.fenced_writes import write_fenced
from marblefold.registry.hedging import call_hedged
from marblefold.registry.quorum_contact import QuorumContact
from marblefold.registry.stall_detector import STALL_THRESHOLD_SECONDS, StallDetector

MEMBERS = ("a", "b", "c", "d", "e")
VIEW = View(1, "first", MEMBERS)


def send(router, method, path):
    """Returns the status of a call without a body."""

    async def read_body(_bound, _limit):
        return b"", True

    fields = {"method": method, "path": path, "headers": (), "read_body": staticmethod(read_body)}
    return asyncio.run(router.handle(type("Request", (), fields)())).status


class Clock:
    """A monotonic clock that the test advances."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.mark.parametrize("gap", [STALL_THRESHOLD_SECONDS * 0.9, 20.0])
def test_data_may_be_stale_for_a_while_after_a_stall(gap):
    clock = Clock()
    stall_detector = StallDetector(clock, lambda _count: None)
    stall_detector.record_progress()
    clock.now += gap
    assert stall_detector.may_be_stale() == (gap > STALL_THRESHOLD_SECONDS)


@pytest.mark.parametrize("is_time_first", [False, True])
def test_stall_is_over_after_enough_iterations_and_enough_time(is_time_first):
    clock, iterations = Clock(), []
    stall_detector = StallDetector(clock, iterations.append)
    stall_detector.record_progress()
    clock.now += 20.0
    assert stall_detector.may_be_stale()

    def run_iterations():
        while iterations:
            assert stall_detector.may_be_stale()
            iterations.pop()()

    def pass_time():
        clock.now += 0.2

    first, second = (pass_time, run_iterations) if is_time_first else (run_iterations, pass_time)
    first()
    assert stall_detector.may_be_stale()
    second()
    assert not stall_detector.may_be_stale()


def test_command_buffered_during_a_pause_is_answered_503_and_not_executed():
    """Uses real sockets: the command is sent while the event loop is not running."""
    clock, ran = Clock(), []
    stall_detector = StallDetector(clock)
    router = CommandRouter(stall_detector, QuorumContact(clock), clock)

    async def execute(call):
        try:
            check_command()
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

    def send_command(name):
        """Sends without waiting: the kernel buffers the whole request."""
        client = socket.create_connection(("127.0.0.1", port))
        client.sendall(f"PUT /do/{name} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
        return client

    async def read_status(client):
        client.setblocking(False)
        return int((await loop.sock_recv(client, 4096)).split(b" ")[1])

    async def begin():
        await server.start(Address("127.0.0.1", port))
        stall_detector.record_progress()

    loop.run_until_complete(begin())
    waiting = [send_command(f"late-{number}") for number in range(5)]
    clock.now += 20.0
    assert [loop.run_until_complete(read_status(one)) for one in waiting] == [503] * 5
    clock.now += 0.2
    after = send_command("after")
    assert loop.run_until_complete(read_status(after)) == 200 and ran == ["after"]
    for client in (*waiting, after):
        client.close()
    server.stop()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()


@pytest.mark.parametrize("duration", [0.4, 0.6])
@pytest.mark.parametrize("is_age_exempt", [False, True])
def test_only_commands_with_a_number_of_their_own_may_take_long_to_validate(
    duration, is_age_exempt
):
    clock, outcomes = Clock(), []
    router = CommandRouter(StallDetector(clock), QuorumContact(clock), clock)

    async def execute(_call):
        # Validating a large configuration takes CPU time.
        clock.now += duration
        try:
            check_command(is_age_exempt)
        except MeshError:
            outcomes.append("refused")
        else:
            outcomes.append("executed")
        return Answer(200)

    router.add("PUT", "/x", execute)
    assert send(router, "PUT", "/x") == 200
    is_refused = duration > COMMAND_MAX_AGE_SECONDS and not is_age_exempt
    assert outcomes == ["refused" if is_refused else "executed"]


@pytest.mark.parametrize("status", [200, 400, 404, 409, 503])
def test_without_contact_no_command_is_refused_permanently(status):
    clock = Clock()
    contact = QuorumContact(clock)
    router = CommandRouter(StallDetector(clock), contact, clock)

    async def answer(_call):
        return json_answer(status, {})

    router.add("PUT", "/x", answer)
    router.add("GET", wire_names.OWNERS_PATH, answer)

    assert send(router, "PUT", "/x") == (status if status in (200, 503) else 503)
    assert send(router, "GET", wire_names.OWNERS_PATH) == 503
    for store in MEMBERS:
        contact.record_vote(store, VIEW, clock.now)
    assert send(router, "PUT", "/x") == send(router, "GET", wire_names.OWNERS_PATH) == status


CHANGES = {"window-empty": evacuate_for_window, "window-release": release_from_window}


class Registers:
    """One register as the stores change it, with the writes of others in between."""

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
    "others, final_value",
    [
        ((), b"on"),
        ((b"off",), b"on"),
        ((b"on",), b"on"),
        ((b"on", b"off"), None),
        ((b"off", b"on"), b"on"),
    ],
)
def test_command_takes_effect_once_and_is_acknowledged_or_unclear(others, final_value):
    registers = Registers(3, b"off", others)
    try:
        asyncio.run(write_fenced(registers, "evacuation/z", EvacuationState.ON, lambda: 3))
    except MeshError:
        assert final_value is None
    else:
        assert registers.value == final_value
    assert registers.history.count(b"on") <= 1 + others.count(b"on")


@pytest.mark.parametrize(
    "kind, before, others, after",
    [
        ("window-empty", b"off", (), b"window"),
        ("window-empty", b"on", (), b"on"),
        ("window-empty", b"off", (b"on", b"off"), b"off"),
        ("window-release", b"window", (), b"off"),
        ("window-release", b"on", (), b"on"),
        # The window ended and another began meanwhile: its zone stays evacuated.
        ("window-release", b"window", (b"off", b"window"), b"window"),
    ],
)
def test_changes_of_a_window_are_fenced_by_the_register(kind, before, others, after):
    registers = Registers(5, before, others)
    coordinator = MaintenanceCoordinator(registers, None)
    state = asyncio.run(coordinator._change_zone(RegisterCallKind(kind), "z"))
    assert state.value == registers.value
    assert registers.value == after


def test_hedged_call_tries_the_next_peer_after_a_failure_and_raises_the_last_error():
    called = []

    async def call(peer, _seconds):
        called.append(peer)
        if peer == "c":
            return json.dumps(peer)
        raise MeshError("ask", "no", peer)

    assert asyncio.run(call_hedged("abcd", call, 60.0, 60.0)) == '"c"' and called == [
        "a",
        "b",
        "c",
    ]
    with pytest.raises(MeshError, match="with b"):
        asyncio.run(call_hedged("ab", call, 60.0, 60.0))
