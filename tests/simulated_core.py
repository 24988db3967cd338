"""Complete stores on a simulated clock, network and disks.

The acceptor, proposer, background rounds and member changes are the real ones.
Messages are delayed, lost, cut off, or delivered long after their sender stopped.
"""

import asyncio
import random

from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import pack_message, unpack_message
from marblefold.register_store.acceptor import Acceptor, VotingStatus
from marblefold.register_store.ballots import read_accepted_state
from marblefold.register_store.chosen_registers import ChosenRegisters
from marblefold.register_store.peer_calls import StorePeers
from marblefold.register_store.proposer import Proposer
from marblefold.register_store.register_service import RegisterService
from marblefold.register_store.replica import Replica
from marblefold.register_store.store_timing import StoreTiming
from tests.simulated_clock import _Selector

START_SECONDS = 1000.0


class PowerLost(BaseException):
    """The machine lost power during a write."""


def _is_power_lost(error):
    if isinstance(error, BaseExceptionGroup):
        return any(_is_power_lost(each) for each in error.exceptions)
    return isinstance(error, PowerLost)


class Disk:
    """A durable disk; power can fail at a write, which is then kept or lost."""

    def __init__(self):
        self.records = {}
        self.writes_left = None
        self.keeps_last = True

    def load(self):
        return dict(self.records)

    def write(self, name, data):
        if self.writes_left is not None:
            self.writes_left -= 1
            if self.writes_left <= 0:
                self.writes_left = None
                if self.keeps_last:
                    self.records[name] = data
                raise PowerLost()
        self.records[name] = data


class SimulatedConnection:
    """Simulates the connection from one run of a store to a peer."""

    def __init__(self, machine, run, peer):
        self.machine, self.run, self.peer = machine, run, peer

    async def call(self, payload, seconds):
        core, machine = self.machine.core, self.machine
        answer = core.loop.create_future()
        if not core.is_blocked(machine.address, self.peer, unpack_message(payload).kind):
            core.deliver(machine.address, self.peer, lambda: self._serve(payload, answer))
        try:
            async with asyncio.timeout(seconds):
                return await answer
        except TimeoutError:
            raise MeshError("call", "no answer in time", self.peer) from None

    def send(self, _kind, _number, payload):
        target = self.machine.core.machines[self.peer]
        self.machine.core.deliver(
            self.machine.address,
            self.peer,
            lambda: target.receive_notification(unpack_message(payload)),
        )

    def _serve(self, payload, answer):
        core, target = self.machine.core, self.machine.core.machines[self.peer]
        reply = target.serve(unpack_message(payload))
        if reply is None:
            return
        data = pack_message(reply)

        def deliver_answer():
            if self.machine.run == self.run and not answer.done():
                answer.set_result(data)

        core.deliver(self.peer, self.machine.address, deliver_answer, may_be_late=False)


class SimulatedConnectionPool:
    """Simulates the connection pool, which holds the outgoing connections to peers."""

    def __init__(self, machine):
        self.machine, self.run = machine, machine.run

    def find(self, peer):
        return (
            SimulatedConnection(self.machine, self.run, peer)
            if peer in self.machine.core.machines
            else None
        )

    async def connect(self, peer):
        target = self.machine.core.machines.get(peer)
        if target is None or not target.is_up:
            await asyncio.sleep(0.01)
            raise MeshError("connect", "refused", peer)
        return SimulatedConnection(self.machine, self.run, peer)


class Machine:
    """One machine that runs a store."""

    def __init__(self, core, address):
        self.core, self.address = core, address
        self.seeds = core.seeds
        self.disk = Disk()
        self.run = 0
        self.is_up = False
        self.tasks = []

    def start(self, is_first=False):
        self.run += 1
        self.is_up = True
        core, clock = self.core, self.core.loop.time
        self.acceptor = Acceptor(self.address, self.disk, self.seeds, is_first)
        peers = StorePeers(self.acceptor, SimulatedConnectionPool(self), clock)
        self.proposer = Proposer(
            peers, f"{self.address}/{self.acceptor.generation}/{self.run}", clock=clock
        )
        timing = StoreTiming(clock, asyncio.sleep, core.random.uniform)
        self.replica = Replica(
            self.acceptor, peers, self.proposer, ChosenRegisters(), self.seeds, core.losses, timing
        )
        self.peers = peers
        self.service = RegisterService(self.replica.registers)
        self._spawn(self.replica.run())

    def stop(self):
        """Ends the process, as a power loss or a kill does; the disk stays."""
        self.is_up = False
        self.run += 1
        for task in self.tasks:
            task.cancel()
        self.tasks = []

    def wipe(self):
        self.stop()
        self.disk = Disk()

    async def leave(self, seconds=4.0):
        """Hands over and ends, as on SIGTERM, and drops the disk."""
        await self._spawn(self.replica.hand_over(seconds))
        self.wipe()

    async def change(self, register, change, seconds=1.3):
        """Serves an order as the program does: proposes, learns the result, notifies the others."""
        return await self._spawn(self._change(register, change, seconds))

    async def execute(self, call):
        """Serves the call of a registry; returns the answer."""
        return await self._spawn(self.service.execute(call))

    async def _change(self, register, change, seconds):
        state = await self.proposer.change(register, change, seconds)
        self.replica.learn_chosen(register, state)
        for peer in self.acceptor.view.members:
            if peer != self.address:
                self.peers.notify_chosen(peer, register, state)
        return state

    def serve(self, call):
        return self._run_while_up(lambda: self.replica.answer(call))

    def receive_notification(self, message):
        self._run_while_up(
            lambda: self.replica.learn_chosen(message.register, read_accepted_state(message))
        )

    def _run_while_up(self, action):
        if not self.is_up:
            return None
        try:
            return action()
        except PowerLost:
            self.stop()
            return None

    def _spawn(self, coroutine):
        task = self.core.loop.create_task(coroutine)
        self.tasks.append(task)
        run = self.run

        def done(task):
            if not task.cancelled() and _is_power_lost(task.exception()) and run == self.run:
                self.stop()

        task.add_done_callback(done)
        return task


class _Loop(asyncio.SelectorEventLoop):
    def __init__(self):
        self.clock = [START_SECONDS]
        super().__init__(_Selector(self.clock))

    def time(self):
        return self.clock[0]


class Core:
    """All machines that may run a store, and the network between them."""

    def __init__(self, seed, losses, first_machines):
        self.loop = _Loop()
        self.random = random.Random(seed)
        # The proposer draws its retry delays from the global random generator.
        random.seed(seed)
        self.losses = losses
        self.seeds = [f"m{index}:1" for index in range(3)]
        self.machines = {}
        self.cuts = set()
        self.late_share = self.loss_share = self.slow_share = 0.0
        # Tests may replace it to drop calls by sender, receiver and kind.
        self.is_blocked = lambda _sender, _receiver, _kind: False
        for index in range(first_machines):
            self.add(f"m{index}:1").start(is_first=True)

    def add(self, address):
        self.machines[address] = Machine(self, address)
        return self.machines[address]

    def deliver(self, sender, receiver, action, may_be_late=True):
        """Delivers after a delay, seconds late, or, across a cut or by chance, never."""
        if (sender, receiver) in self.cuts:
            return
        if may_be_late and self.random.random() < self.loss_share:
            return
        delay = self.random.uniform(0.0005, 0.015)
        if self.random.random() < self.slow_share:
            delay = self.random.uniform(0.015, 0.3)
        if may_be_late and self.random.random() < self.late_share:
            delay = self.random.uniform(0.5, 2.5)
        self.loop.call_later(delay, action)

    def cut(self, address, one_way=False):
        for other in self.machines:
            self.cuts.add((address, other))
            if not one_way:
                self.cuts.add((other, address))

    def heal(self, address):
        self.cuts = {pair for pair in self.cuts if address not in pair}

    def view(self):
        """Returns the newest view that any running store knows."""
        views = [
            machine.acceptor.view
            for machine in self.machines.values()
            if machine.is_up and machine.acceptor.view
        ]
        return max(views, key=lambda view: view.number)

    def voters(self):
        """Returns the members of the newest view that vote in it."""
        view = self.view()
        return [
            peer
            for peer in view.members
            if peer in self.machines
            and self.machines[peer].is_up
            and self.machines[peer].acceptor.voting_status is VotingStatus.VOTING
            and self.machines[peer].acceptor.view == view
        ]

    def run(self, coroutine):
        try:
            return self.loop.run_until_complete(coroutine)
        finally:
            for machine in self.machines.values():
                machine.stop()
            for task in asyncio.all_tasks(self.loop):
                task.cancel()
            for _ in range(5):
                self.loop.run_until_complete(asyncio.sleep(0))
            self.loop.close()
