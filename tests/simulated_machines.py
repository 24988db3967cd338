"""Core machines, each with the real store and registry parts on a loop of its own.

A machine that is frozen takes no turn: its timers stand still and its sockets
fill, while the clock of the world goes on for all.  At the thaw it reads what
waited first, as a real event loop does.
"""

import asyncio
import itertools
from types import SimpleNamespace

from marblefold.inner_protocol.messages import kinds, pack_message, unpack_message
from marblefold.register_store.acceptor import Acceptor
from marblefold.register_store.chosen_registers import ChosenRegisters
from marblefold.register_store.peer_calls import StorePeers
from marblefold.register_store.program import StoreProgram
from marblefold.register_store.proposer import Proposer
from marblefold.register_store.upkeep import Upkeep
from marblefold.registry.catalogue import Catalogue
from marblefold.registry.control_calls import ControlCalls
from marblefold.registry.feed import FeedKeeper
from marblefold.registry.order_gate import OrderGate
from marblefold.registry.quorum_contact import QuorumContact
from marblefold.registry.stall_guard import StallGuard
from marblefold.registry.store_client import StoreClient
from tests.simulated_links import Loop, Message, Peers
from tests.simulated_stores import MemoryRecords

SLICE = 0.05
# Bytes that are not acknowledged for so long end their connection.
UNHEARD = 2.0
OPERATOR = "operator"


class World:
    """The clock, the links and the machines."""

    def __init__(self, names=("a", "b", "c")):
        self.now = 1000.0
        self.order = itertools.count()
        self.cut = set()
        self.waiting = []
        self.machines = {}
        for name in names:
            self.machines[name] = Machine(self, name, names)

    def clock(self):
        return self.now

    def send(self, source, target, act):
        """Sends a message over a link; it may be held back, or lost."""
        self.waiting.append(Message(next(self.order), self.now, source, target, act))

    def deliver(self):
        messages, self.waiting = sorted(self.waiting, key=lambda one: one.number), []
        for message in messages:
            if (message.source, message.target) in self.cut:
                # The sender's kernel tries again until its connection ends.
                if self.now - message.sent < UNHEARD:
                    self.waiting.append(message)
            elif message.target == OPERATOR:
                message.act()
            else:
                self.machines[message.target].inbox.append(message)

    def turn(self, rounds=12):
        for _ in range(rounds):
            self.deliver()
            for machine in self.machines.values():
                machine.turn()

    def advance(self, seconds):
        for _ in range(round(seconds / SLICE)):
            self.now += SLICE
            self.turn()

    def close(self):
        for machine in self.machines.values():
            machine.close()


class Machine:
    """A store and a registry on one machine."""

    def __init__(self, world, name, names):
        self.world, self.name = world, name
        self.loop, self.inbox, self.is_frozen = Loop(world), [], False
        self.records = MemoryRecords()
        self.make_store(list(names))
        self.make_registry(list(names))
        for run in (self.upkeep.run(), self.client.run(), self.guard.run()):
            self.loop.create_task(run)

    def make_store(self, names):
        self.acceptor = Acceptor(self.name, self.records, names, True)
        peers = StorePeers(self.acceptor, Peers(self.world, self.name))
        self.chosen = ChosenRegisters()
        proposer = Proposer(peers, f"{self.name}/{self.acceptor.life}", clock=self.world.clock)
        self.upkeep = Upkeep(self.acceptor, peers, proposer, self.chosen, names)
        # The real answers of the real program, without its sockets and files.
        self.program = StoreProgram.__new__(StoreProgram)
        vars(self.program).update(
            _acceptor=self.acceptor,
            _peers=peers,
            _proposer=proposer,
            _chosen=self.chosen,
            _upkeep=self.upkeep,
        )

    def make_registry(self, names):
        self.contact = QuorumContact(self.world.clock)
        peers = Peers(self.world, self.name)
        self.client = StoreClient(
            self.name, lambda: names, self.on_record, self.contact, peers, self.world.clock
        )
        peers.owner = self.client
        self.guard = StallGuard(self.world.clock)
        self.catalogue = Catalogue(1)
        self.feed = FeedKeeper(
            self.catalogue,
            lambda: self.contact.is_held,
            lambda: 1,
            soon=lambda _wait, push: self.loop.call_soon(push),
        )
        self.router = OrderGate(self.guard, self.contact, self.world.clock)
        ControlCalls(self.client, lambda: {"z"}, dict, self.find_evacuation_number).add_to(
            self.router
        )

    def find_evacuation_number(self, zone):
        entry = self.catalogue.find("evacuation", zone)
        return entry.number if entry is not None else None

    def on_record(self, record):
        kind, _slash, key = record.register.partition("/")
        self.catalogue.put(
            kinds.Entry(kind=kind, key=key or kind, number=record.number, value=record.value)
        )

    def serve(self, connection, payload, answered):
        """A call for the store here, read from its socket."""
        message = unpack_message(payload)

        def reply(answer):
            self.world.send(self.name, connection.source, lambda: answered(pack_message(answer)))

        if isinstance(message, kinds.StoreCall):
            reply(self.upkeep.answer(message))
            return

        async def answer():
            reply(await self.program._make_answer(connection, message))

        self.loop.create_task(answer())

    def call(self, method, path, body, answered):
        """A call of an operator, read from its socket; the task that serves it."""

        async def read_body(_bound, _most):
            return body, True

        async def serve():
            request = SimpleNamespace(method=method, path=path, headers=(), read_body=read_body)
            answer = await self.router.handle(request)
            self.world.send(self.name, OPERATOR, lambda: answered(answer))

        return self.loop.create_task(serve())

    def turn(self):
        if self.is_frozen:
            return
        inbox, self.inbox = self.inbox, []
        for message in inbox:
            self.loop.call_soon(message.act)
        if self.loop.is_due:
            self.loop.turn()

    def thaw(self, reads_operators_last=False):
        """Goes on; which of several sockets is read first is the kernel's choice."""
        self.is_frozen = False
        if reads_operators_last:
            self.inbox.sort(key=lambda message: message.source == OPERATOR)

    def close(self):
        self.is_frozen = False
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.inbox.clear()
        for _ in range(5):
            self.loop.turn()
        self.loop.close()
