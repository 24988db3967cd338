"""Simulated core machines, each with the real store and registry on its own event loop.

A paused machine runs nothing: its timers do not fire and its sockets fill, while the
clock of the cluster advances for all.  When it resumes, it first reads what is
waiting, as a real event loop does.
"""

import asyncio
import itertools
from types import SimpleNamespace

from marblefold.inner_protocol.messages import messages_pb2, pack_message, unpack_message
from marblefold.register_store.acceptor import Acceptor
from marblefold.register_store.chosen_registers import ChosenRegisters
from marblefold.register_store.peer_calls import StorePeers
from marblefold.register_store.program import StoreProgram
from marblefold.register_store.proposer import Proposer
from marblefold.register_store.register_service import RegisterService
from marblefold.register_store.replica import Replica
from marblefold.registry.catalogue import Catalogue
from marblefold.registry.command_router import CommandRouter
from marblefold.registry.control_calls import ControlCalls
from marblefold.registry.feed import FeedPublisher
from marblefold.registry.quorum_contact import QuorumContact
from marblefold.registry.stall_detector import StallDetector
from marblefold.registry.store_client import StoreClient
from tests.simulated_links import Message, SimulatedLoop, SimulatedPeers
from tests.simulated_stores import MemoryRecords

TIME_STEP_SECONDS = 0.05
# A connection whose data stays unacknowledged for this long is closed, and the data lost.
CONNECTION_TIMEOUT_SECONDS = 2.0
OPERATOR = "operator"


class Cluster:
    """The clock, the links and the machines of a simulated cluster."""

    def __init__(self, names=("a", "b", "c")):
        self.now = 1000.0
        self.sequence = itertools.count()
        self.cut_links = set()
        self.in_flight = []
        self.machines = {}
        for name in names:
            self.machines[name] = Machine(self, name, names)

    def clock(self):
        return self.now

    def send(self, source, target, receive):
        """Sends a message over a link, which may delay or lose it."""
        self.in_flight.append(Message(next(self.sequence), self.now, source, target, receive))

    def deliver(self):
        messages, self.in_flight = sorted(self.in_flight, key=lambda one: one.number), []
        for message in messages:
            if (message.source, message.target) in self.cut_links:
                # The sender's kernel retransmits until the connection is closed.
                if self.now - message.sent_at < CONNECTION_TIMEOUT_SECONDS:
                    self.in_flight.append(message)
            elif message.target == OPERATOR:
                message.receive()
            else:
                self.machines[message.target].inbox.append(message)

    def run_rounds(self, rounds=12):
        for _ in range(rounds):
            self.deliver()
            for machine in self.machines.values():
                machine.run_once()

    def advance(self, seconds):
        for _ in range(round(seconds / TIME_STEP_SECONDS)):
            self.now += TIME_STEP_SECONDS
            self.run_rounds()

    def close(self):
        for machine in self.machines.values():
            machine.close()


class Machine:
    """One machine with a store and a registry."""

    def __init__(self, cluster, name, names):
        self.cluster, self.name = cluster, name
        self.loop, self.inbox, self.is_paused = SimulatedLoop(cluster), [], False
        self.records = MemoryRecords()
        self.make_store(list(names))
        self.make_registry(list(names))
        for coroutine in (self.replica.run(), self.client.run(), self.stall_detector.run()):
            self.loop.create_task(coroutine)

    def make_store(self, names):
        self.acceptor = Acceptor(self.name, self.records, names, True)
        peers = StorePeers(self.acceptor, SimulatedPeers(self.cluster, self.name))
        self.chosen = ChosenRegisters()
        proposer = Proposer(
            peers, f"{self.name}/{self.acceptor.generation}", clock=self.cluster.clock
        )
        self.replica = Replica(self.acceptor, peers, proposer, self.chosen, names)
        service = RegisterService(self.replica.registers)
        # The real program answers, without its sockets and files.
        self.program = StoreProgram.__new__(StoreProgram)
        vars(self.program).update(_acceptor=self.acceptor, _chosen=self.chosen, _service=service)

    def make_registry(self, names):
        self.contact = QuorumContact(self.cluster.clock)
        peers = SimulatedPeers(self.cluster, self.name)
        self.client = StoreClient(
            self.name, lambda: names, self.on_record, self.contact, peers, self.cluster.clock
        )
        peers.owner = self.client
        self.stall_detector = StallDetector(self.cluster.clock)
        self.catalogue = Catalogue(1)
        self.feed = FeedPublisher(
            self.catalogue,
            lambda: self.contact.is_held,
            lambda: 1,
            schedule=lambda _delay, push: self.loop.call_soon(push),
        )
        self.router = CommandRouter(self.stall_detector, self.contact, self.cluster.clock)
        ControlCalls(self.client, lambda: {"z"}, dict, self.find_evacuation_number).add_to(
            self.router
        )

    def find_evacuation_number(self, zone):
        entry = self.catalogue.find("evacuation", zone)
        return entry.number if entry is not None else None

    def on_record(self, record):
        kind, _slash, key = record.register.partition("/")
        self.catalogue.put(
            messages_pb2.Entry(kind=kind, key=key or kind, number=record.number, value=record.value)
        )

    def serve(self, connection, payload, on_answer):
        """Serves a call to this machine's store, read from its socket."""
        message = unpack_message(payload)

        def reply(answer):
            self.cluster.send(self.name, connection.source, lambda: on_answer(pack_message(answer)))

        if isinstance(message, messages_pb2.StoreCall):
            reply(self.replica.answer(message))
            return

        async def answer():
            reply(await self.program._execute_call(connection, message))

        self.loop.create_task(answer())

    def call(self, method, path, body, on_answer):
        """Serves an operator's call, read from its socket; returns the task."""

        async def read_body(_bound, _limit):
            return body, True

        async def serve():
            request = SimpleNamespace(method=method, path=path, headers=(), read_body=read_body)
            answer = await self.router.handle(request)
            self.cluster.send(self.name, OPERATOR, lambda: on_answer(answer))

        return self.loop.create_task(serve())

    def run_once(self):
        if self.is_paused:
            return
        inbox, self.inbox = self.inbox, []
        for message in inbox:
            self.loop.call_soon(message.receive)
        if self.loop.is_due:
            self.loop.run_once()

    def resume(self, reads_operators_last=False):
        """Resumes; the kernel determines which of several sockets is read first."""
        self.is_paused = False
        if reads_operators_last:
            self.inbox.sort(key=lambda message: message.source == OPERATOR)

    def close(self):
        self.is_paused = False
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.inbox.clear()
        for _ in range(5):
            self.loop.run_once()
        self.loop.close()
