"""Tests connections to a target against a model of what the target sent on them.

The model tracks every byte.  A connection may carry another request only if exactly the
complete answers to its earlier requests were delivered on it, and the outcome of a
request is what the target sent with that request's attempt id.
"""

import re

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from marblefold.http_connections.target_connection_pool import TargetConnectionPool
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.node_config.model import Address
from marblefold.request_path.outcome import HopOutcome
from marblefold.request_path.target_caller import TargetCaller
from tests.simulated_connections import Simulation
from tests.simulated_target import TargetEndpoint, pack

REQUEST_HEAD = re.compile(rb"GET / HTTP/1\.1\r\nAttempt-Id: (\w+)\r\n(?:[^\r]+\r\n)*\r\n")
INDEX = st.integers(0, 10_000)
PARTIAL_ANSWERS = (
    b"HTTP/1.1 503 Odd\r\nNot-Executed: 1\r\nX-Part: ",
    b"HTTP/1.1 200 OK\r\nServer-Seal: foreign\r\nX-Part: ",
    b"HTTP/1.1 100 Continue\r\nX-Part: ",
    b"HTTP/1.1 2",
)


class TargetModel(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.simulation = Simulation()
        self.endpoints, self.offers, self.checked = [], {}, set()
        self.refused, self.answers = set(), {}
        self.refuses_connections = False
        self.simulation.loop.connector = self.connect
        self.connections = self.simulation.call(TargetConnectionPool, Address("10.0.0.1", 80))
        self.caller = TargetCaller(self.connections)

    def teardown(self):
        self.simulation.close()

    def connect(self, _address, transport):
        if self.refuses_connections:
            raise ConnectionRefusedError
        self.endpoints.append(TargetEndpoint(transport))

    def pick(self, index, predicate):
        found = [
            endpoint for endpoint in self.endpoints if endpoint.is_open and predicate(endpoint)
        ]
        return found[index % len(found)] if found else None

    @rule(mutating=st.booleans())
    def send_request(self, mutating):
        name = f"a{len(self.offers)}"
        head = messages_pb2.RequestHead(
            attempt_id=name,
            method="GET",
            path=b"/",
            header_block=b"Attempt-Id: %s\r\n" % name.encode(),
            expected_instance="i",
            route_type="mutating" if mutating else "read_only",
            body_length=-1,
            deadline_left_ms=900_000,
        )
        self.offers[name] = self.simulation.start(self.caller.offer(None, head, 900.0))
        self.read_requests()

    def read_requests(self):
        """Reads the requests that the target has received."""
        for endpoint in self.endpoints:
            found = [
                match.decode() for match in REQUEST_HEAD.findall(bytes(endpoint.transport.written))
            ]
            if len(found) > len(endpoint.requests):
                # A further request is sent only after complete answers to the earlier ones.
                assert endpoint.is_clean
            endpoint.requests = found

    @rule(
        index=INDEX,
        style=st.sampled_from(
            ["whole"] * 3 + ["failure", "refused", "refused early", "unstated", "unframed", "cut"]
        ),
        at_once=st.booleans(),
        part=st.sampled_from((b"",) * 4 + PARTIAL_ANSWERS),
    )
    def answer(self, index, style, at_once, part):
        endpoint = self.pick(index, lambda endpoint: endpoint.answered < len(endpoint.requests))
        if endpoint is None:
            return
        self.write_answer(endpoint, style)
        if part and not endpoint.is_closing:
            # Unsolicited bytes that arrive together with the answer.
            endpoint.send(part, True)
        if at_once or part:
            self.deliver(endpoint, len(endpoint.undelivered))

    def write_answer(self, endpoint, style):
        name = endpoint.requests[endpoint.answered]
        attempt, body = name.encode(), b"body of " + name.encode()
        seal = b"Server-Seal: s-" + attempt
        endpoint.answered += 1
        if style == "refused early" and endpoint.answered > 1:
            style = "refused"
        if style.startswith("refused"):
            self.refused.add(name)
            stated_id = attempt if style == "refused" else b""
            endpoint.send(pack(503, stated_id, b"full", b"Not-Executed: 1"))
        elif style == "unstated":
            endpoint.send(pack(503, attempt, body, seal))
        elif style == "cut":
            endpoint.send_last(pack(200, attempt, body, seal)[:-3])
        elif style == "unframed":
            self.answers[name] = (200, body)
            endpoint.send_last(pack(200, attempt, body, seal, length=False))
        else:
            status = 200 if style == "whole" else 500
            self.answers[name] = (status, body)
            endpoint.send(pack(status, attempt, body, seal))

    @rule(
        index=INDEX,
        style=st.sampled_from(["foreign", "earlier", "refusal", "part", "bytes"]),
        part=st.sampled_from(PARTIAL_ANSWERS),
    )
    def send_surplus(self, index, style, part):
        """Sends bytes that answer no request in progress on the connection."""
        endpoint = self.pick(index, lambda endpoint: endpoint.requests)
        if endpoint is None:
            return
        if style == "refusal":
            # Without an id, the first answer of a connection would pass for a valid refusal.
            if endpoint.answered:
                endpoint.send(pack(503, b"", b"late", b"Not-Executed: 1"), True)
                self.deliver(endpoint, len(endpoint.undelivered))
        elif style in ("foreign", "earlier"):
            earlier = endpoint.requests[0].encode() if endpoint.answered else b"zz"
            attempt = b"zz" if style == "foreign" else earlier
            endpoint.send(pack(200, attempt, b"not yours", b"Server-Seal: s-zz"), True)
        elif endpoint.answered == len(endpoint.requests):
            # While an answer is due, such bytes could not be told from its beginning.
            endpoint.send(part if style == "part" else b"\x00\x01 no answer\r\n\r\n", True)
            self.deliver(endpoint, len(endpoint.undelivered))

    @rule(index=INDEX, part=st.sampled_from(PARTIAL_ANSWERS), mutating=st.booleans())
    def send_unsolicited_part(self, index, part, mutating):
        """Sends a partial answer on an idle connection, and then a request."""
        endpoint = self.pick(index, lambda endpoint: endpoint.requests and endpoint.is_clean)
        if endpoint is not None:
            endpoint.send(part, True)
            self.deliver(endpoint, len(endpoint.undelivered))
            self.send_request(mutating)

    @rule(index=INDEX, size=st.sampled_from([1, 7, 40, 90, 4000]))
    def deliver_part(self, index, size):
        endpoints = [
            endpoint
            for endpoint in self.endpoints
            if endpoint.transport.is_open and endpoint.undelivered
        ]
        if endpoints:
            self.deliver(endpoints[index % len(endpoints)], size)

    def deliver(self, endpoint, size):
        data, endpoint.undelivered = endpoint.undelivered[:size], endpoint.undelivered[size:]
        endpoint.delivered += len(data)
        if endpoint.transport.is_open:
            self.simulation.call(endpoint.transport.protocol.data_received, data)

    @rule(index=INDEX, cleanly=st.booleans(), rarely=st.integers(0, 2))
    def close_connection(self, index, cleanly, rarely):
        endpoints = [endpoint for endpoint in self.endpoints if endpoint.transport.is_open]
        if (
            not endpoints
            or rarely
            and not (cleanly and endpoints[index % len(endpoints)].is_closing)
        ):
            return
        endpoint = endpoints[index % len(endpoints)]
        if cleanly and endpoint.is_closing and not endpoint.undelivered:
            self.simulation.call(endpoint.transport.finish)
            return
        if endpoint.is_closing and endpoint.requests:
            # After a reset, an answer without a length is incomplete.
            self.answers.pop(endpoint.requests[-1], None)
        self.simulation.call(endpoint.transport.reset)

    @rule(index=INDEX, rarely=st.integers(0, 2))
    def cancel(self, index, rarely):
        tasks = [task for task in self.offers.values() if not task.done()]
        if tasks and not rarely:
            tasks[index % len(tasks)].cancel()
            self.simulation.turn()

    @rule(refuses=st.sampled_from([False, False, True]))
    def set_refuses_connections(self, refuses):
        self.refuses_connections = refuses

    @precondition(lambda self: self.offers)
    @invariant()
    def each_outcome_belongs_to_its_request(self):
        self.read_requests()
        for name, task in self.offers.items():
            if name in self.checked or not task.done():
                continue
            self.checked.add(name)
            written = sum(endpoint.requests.count(name) for endpoint in self.endpoints)
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
