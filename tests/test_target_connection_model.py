"""Connections to a target against a plain model of what the target sent on them.

The model keeps every byte: a connection may carry a further request only if
exactly the whole answers to its requests came on it, and a request's outcome
is what the target sent under the request's own id.
"""

import re

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from marblefold.http_connections.target_connection_pool import TargetConnectionPool
from marblefold.inner_protocol.messages import kinds
from marblefold.node_config.model import Address
from marblefold.request_path.outcome import HopOutcome
from marblefold.request_path.target_caller import TargetCaller
from tests.simulated_connections import Simulation
from tests.simulated_target import SimulatedTargetConnection, pack

HEAD = re.compile(rb"GET / HTTP/1\.1\r\nAttempt-Id: (\w+)\r\n(?:[^\r]+\r\n)*\r\n")
CHOICE = st.integers(0, 10_000)
PARTS = (
    b"HTTP/1.1 503 Odd\r\nNot-Executed: 1\r\nX-Part: ",
    b"HTTP/1.1 200 OK\r\nServer-Seal: foreign\r\nX-Part: ",
    b"HTTP/1.1 100 Continue\r\nX-Part: ",
    b"HTTP/1.1 2",
)


class TargetModel(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.stage = Simulation()
        self.lines, self.asked, self.checked = [], {}, set()
        self.refused, self.answers = set(), {}
        self.refuses_connections = False
        self.stage.loop.connector = self.connect
        self.connections = self.stage.call(TargetConnectionPool, Address("10.0.0.1", 80))
        self.caller = TargetCaller(self.connections)

    def teardown(self):
        self.stage.close()

    def connect(self, _address, transport):
        if self.refuses_connections:
            raise ConnectionRefusedError
        self.lines.append(SimulatedTargetConnection(transport))

    def pick(self, choice, want):
        found = [line for line in self.lines if line.is_open and want(line)]
        return found[choice % len(found)] if found else None

    @rule(mutating=st.booleans())
    def ask(self, mutating):
        name = f"a{len(self.asked)}"
        head = kinds.RequestHead(
            attempt_id=name,
            method="GET",
            path=b"/",
            header_block=b"Attempt-Id: %s\r\n" % name.encode(),
            expected_instance="i",
            route_type="mutating" if mutating else "read_only",
            body_length=-1,
            deadline_left_ms=900_000,
        )
        self.asked[name] = self.stage.start(self.caller.offer(None, head, 900.0))
        self.look()

    def look(self):
        """Reads what came at the target."""
        for line in self.lines:
            found = [match.decode() for match in HEAD.findall(bytes(line.transport.written))]
            if len(found) > len(line.requests):
                # The further request rests on nothing but whole answers before it.
                assert line.is_clean
            line.requests = found

    @rule(
        choice=CHOICE,
        style=st.sampled_from(
            ["whole"] * 3 + ["failure", "refused", "refused early", "unstated", "unframed", "cut"]
        ),
        at_once=st.booleans(),
        part=st.sampled_from((b"",) * 4 + PARTS),
    )
    def answer(self, choice, style, at_once, part):
        line = self.pick(choice, lambda line: line.answered < len(line.requests))
        if line is None:
            return
        self.write_answer(line, style)
        if part and not line.is_ending:
            # In one piece with the answer, and no part of it.
            line.send(part, True)
        if at_once or part:
            self.deliver(line, len(line.outbox))

    def write_answer(self, line, style):
        name = line.requests[line.answered]
        attempt, body = name.encode(), b"body of " + name.encode()
        seal = b"Server-Seal: s-" + attempt
        line.answered += 1
        if style == "refused early" and line.answered > 1:
            style = "refused"
        if style.startswith("refused"):
            self.refused.add(name)
            told = attempt if style == "refused" else b""
            line.send(pack(503, told, b"full", b"Not-Executed: 1"))
        elif style == "unstated":
            line.send(pack(503, attempt, body, seal))
        elif style == "cut":
            line.cut(pack(200, attempt, body, seal)[:-3])
        elif style == "unframed":
            self.answers[name] = (200, body)
            line.cut(pack(200, attempt, body, seal, length=False))
        else:
            status = 200 if style == "whole" else 500
            self.answers[name] = (status, body)
            line.send(pack(status, attempt, body, seal))

    @rule(
        choice=CHOICE,
        style=st.sampled_from(["foreign", "earlier", "refusal", "part", "bytes"]),
        part=st.sampled_from(PARTS),
    )
    def send_surplus(self, choice, style, part):
        """Bytes that answer no request that is under way there."""
        line = self.pick(choice, lambda line: line.requests)
        if line is None:
            return
        if style == "refusal":
            # Without an id it can only be told from an answer behind another.
            if line.answered:
                line.send(pack(503, b"", b"late", b"Not-Executed: 1"), True)
                self.deliver(line, len(line.outbox))
        elif style in ("foreign", "earlier"):
            earlier = line.requests[0].encode() if line.answered else b"zz"
            attempt = b"zz" if style == "foreign" else earlier
            line.send(pack(200, attempt, b"not yours", b"Server-Seal: s-zz"), True)
        elif line.answered == len(line.requests):
            # Before an answer that is due nobody could tell such bytes from it.
            line.send(part if style == "part" else b"\x00\x01 no answer\r\n\r\n", True)
            self.deliver(line, len(line.outbox))

    @rule(choice=CHOICE, part=st.sampled_from(PARTS), mutating=st.booleans())
    def speak_unasked(self, choice, part, mutating):
        """A part of an answer on a connection at rest, and then a request."""
        line = self.pick(choice, lambda line: line.requests and line.is_clean)
        if line is not None:
            line.send(part, True)
            self.deliver(line, len(line.outbox))
            self.ask(mutating)

    @rule(choice=CHOICE, size=st.sampled_from([1, 7, 40, 90, 4000]))
    def move(self, choice, size):
        lines = [line for line in self.lines if line.transport.is_open and line.outbox]
        if lines:
            self.deliver(lines[choice % len(lines)], size)

    def deliver(self, line, size):
        data, line.outbox = line.outbox[:size], line.outbox[size:]
        line.delivered += len(data)
        if line.transport.is_open:
            self.stage.call(line.transport.protocol.data_received, data)

    @rule(choice=CHOICE, in_order=st.booleans(), seldom=st.integers(0, 2))
    def end(self, choice, in_order, seldom):
        lines = [line for line in self.lines if line.transport.is_open]
        if not lines or seldom and not (in_order and lines[choice % len(lines)].is_ending):
            return
        line = lines[choice % len(lines)]
        if in_order and line.is_ending and not line.outbox:
            self.stage.call(line.transport.finish)
            return
        if line.is_ending and line.requests:
            # Reset on the way: an answer without a length is not complete.
            self.answers.pop(line.requests[-1], None)
        self.stage.call(line.transport.reset)

    @rule(choice=CHOICE, seldom=st.integers(0, 2))
    def cancel(self, choice, seldom):
        tasks = [task for task in self.asked.values() if not task.done()]
        if tasks and not seldom:
            tasks[choice % len(tasks)].cancel()
            self.stage.turn()

    @rule(refuses=st.sampled_from([False, False, True]))
    def let_connections_come(self, refuses):
        self.refuses_connections = refuses

    @precondition(lambda self: self.asked)
    @invariant()
    def every_end_is_the_requests_own(self):
        self.look()
        for name, task in self.asked.items():
            if name in self.checked or not task.done():
                continue
            self.checked.add(name)
            written = sum(line.requests.count(name) for line in self.lines)
            assert written <= 1
            if task.cancelled():
                continue
            head = task.result()
            if head.outcome == HopOutcome.ANSWERED:
                assert (head.status, head.body) == self.answers[name]
                assert head.header_block.count(b"Server-Seal") == 1
                assert b"Server-Seal: s-%s\r\n" % name.encode() in head.header_block
            elif head.outcome == HopOutcome.NOT_EXECUTED:
                assert name in self.refused
            elif head.outcome == HopOutcome.NEVER_OFFERED:
                assert written == 0


TestTargetConnections = TargetModel.TestCase
TestTargetConnections.settings = settings(max_examples=250, stateful_step_count=30, deadline=None)
