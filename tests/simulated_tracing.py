"""Many nodes that trace, without sockets: real tracers, recorders and collectors."""

import random
import time
from datetime import timedelta
from types import SimpleNamespace

from marblefold.inner_protocol.messages import kinds
from marblefold.request_path.outcome import HopOutcome, HopResult
from marblefold.tracing.assembly import assemble
from marblefold.tracing.calls import _to_row
from marblefold.tracing.collector import Collector
from marblefold.tracing.exporter import Exporter, ExporterConfig
from marblefold.tracing.recorder import Recorder, RecorderConfig
from marblefold.tracing.tracer import Tracer, TraceSettings

ORDER = SimpleNamespace(name="book", kind="mutating")
LOOKUP = SimpleNamespace(name="look", kind="read_only")
UPLOAD = SimpleNamespace(name="send", kind="upload")
ANSWER = SimpleNamespace(status=200)


class Node:
    """One proxy's tracing; a mark leaves through the network."""

    def __init__(self, network, name, config, settings):
        self.name, self.network, self.config, self.settings = name, network, config, settings
        self.is_dark = False
        self.start()

    def start(self):
        """A fresh start knows nothing of before."""
        self.recorder = Recorder(self.config, self.on_mark)
        self.tracer = Tracer(self.recorder, self.settings, self.name, self.network.chance.random())
        self.exporter = Exporter(
            self.recorder,
            self.name,
            "hall",
            self.name,
            lambda: list(self.network.collectors),
            self.send,
            # As little at a time as the network says, so that outboxes fill.
            ExporterConfig(timedelta(seconds=1), self.network.batch),
        )

    def on_mark(self, trace_id, peers):
        self.network.marks.extend((peer, trace_id) for peer in peers if peer != self.name)

    def send(self, registry, message):
        if self.is_dark or registry in self.network.dark_registries:
            return False
        self.network.collectors[registry].add_batch(
            kinds.SpanBatch.FromString(message.SerializeToString())
        )
        return True


class TracedNetwork:
    """Nodes, collectors, and what really happened to each trace."""

    def __init__(self, count, seed=1, config=RecorderConfig(), settings=TraceSettings(), batch=64):
        self.chance = random.Random(seed)
        self.batch = batch
        self.collectors = {f"registry-{index}": Collector() for index in range(3)}
        self.dark_registries = set()
        self.marks = []
        self.nodes = {
            f"n{index}": Node(self, f"n{index}", config, settings) for index in range(count)
        }
        # The plain model: the steps that each trace really had, by node.
        self.steps = {}

    def call(
        self,
        path,
        route=ORDER,
        attempt="a",
        body=b"order",
        parent_span=None,
        ends="answered",
        tries=1,
    ):
        """One request along the nodes of the path, deeper calls within; its root span."""
        origin = self.nodes[path[0]]
        request = SimpleNamespace(
            headers=(), attempt_id=attempt, arrived=time.monotonic(), path="/x/"
        )
        span = origin.tracer.begin_request(
            request, route, "orders", parent_span, origin.name, body, True
        )
        self.note(span, origin)
        for number in range(1, tries + 1):
            is_last = number == tries
            self.hop(origin, span, path[1:], route, attempt, number, ends if is_last else "unknown")
        status = {"answered": 200, "unknown": 504, "refused": 503}[ends]
        origin.tracer.finish_request(span, status, ends, ends != "refused")
        return span

    def hop(self, origin, span, path, route, attempt, number, ends):
        head = kinds.RequestHead(attempt_id=attempt, attempt_number=number, upstream="orders")
        peer = self.nodes[path[0]]
        hop = origin.tracer.begin_hop(span, head, "i-" + peer.name, peer.name, number)
        self.note(hop, origin)
        head = kinds.RequestHead.FromString(head.SerializeToString())
        serve = peer.tracer.begin_serve(head)
        self.note(serve, peer)
        if len(path) > 1:
            # The target calls on: the link is inferred from the running work.
            self.call(path, LOOKUP, attempt + ".1", b"", serve)
        outcome = {
            "answered": HopOutcome.ANSWERED,
            "unknown": HopOutcome.UNKNOWN,
            "refused": HopOutcome.NEVER_OFFERED,
        }[ends]
        peer.tracer.finish_serve(serve, kinds.AnswerHead(outcome=outcome, status=200), 5)
        answer = ANSWER if ends == "answered" else None
        origin.tracer.finish_hop(hop, HopResult(outcome, answer, step="" if answer else ends))

    def note(self, span, node):
        self.steps.setdefault(span.trace_id, set()).add((node.name, span.span_id))

    def deliver_marks(self, loses=0.0):
        """Marks go along the hops until none is under way."""
        while self.marks:
            peer, trace_id = self.marks.pop(self.chance.randrange(len(self.marks)))
            node = self.nodes.get(peer)
            if node is not None and not node.is_dark and self.chance.random() >= loses:
                node.recorder.mark(trace_id)

    def export(self, rounds=1):
        for _ in range(rounds):
            for node in self.nodes.values():
                node.exporter.export(0.0)

    def find(self, trace_id):
        """The trace as the command puts it together."""
        rows, is_shed = [], False
        for collector in self.collectors.values():
            rows.extend(_to_row(span) for span in collector.find_spans(trace_id))
            is_shed |= collector.is_shed(trace_id)
        return assemble(trace_id.hex(), rows, is_shed), {
            (row["node"], bytes.fromhex(row["span_id"])) for row in rows
        }

    def check(self):
        """Kept at every node that the trace touched or not kept at all; how many are whole."""
        whole = 0
        for trace_id, steps in self.steps.items():
            trace, held = self.find(trace_id)
            if trace.is_complete:
                assert held == steps, (trace_id, steps - held)
                whole += 1
            else:
                # What is short says so.
                assert not held or trace.missing or trace.is_shed, steps - held
        return whole
