"""Injects random faults into a simulated core, never more at once than it must tolerate.

A machine counts as lost while it is down or cut off and for the catch-up time after
that; a removed machine, until its successor has had that time.
"""

import asyncio

from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.call_kinds import Outcome, RegisterCallKind
from marblefold.register_store.changes import set_configuration
from tests.simulated_core import Core

CATCH_UP_SECONDS = 6.0
# Time until a majority answers, and until each member votes, once all machines but
# the tolerated losses are back and have caught up.
ANSWER_BOUND_SECONDS = 2.0
VOTE_BOUND_SECONDS = 5.0


class FaultInjection:
    """One run: orders throughout, faults within the loss budget, then a check without faults."""

    def __init__(self, seed, losses, must_answer=True):
        # Whether to check at the end, beside safety, that a majority answers in time.
        self.must_answer = must_answer
        self.core = Core(seed, losses, 2 * losses + 1)
        self.random = self.core.random
        self.losses = losses
        self.lost_until = {}
        self.next_machine = len(self.core.machines)
        self.next_number = 0
        self.acknowledged = 0
        self.values = {}
        self.events = []
        self.is_calm = False
        self.pending = set()

    @property
    def now(self):
        return self.core.loop.time()

    def run(self, seconds=24.0):
        self.core.run(self._run(seconds))

    async def _run(self, seconds):
        orders = self.core.loop.create_task(self._order())
        await asyncio.sleep(CATCH_UP_SECONDS)
        assert self.is_whole(), f"the view did not reach its full size in time; {self.describe()}"
        core = self.core
        core.late_share, core.loss_share, core.slow_share = 0.01, 0.005, 0.2
        end = self.now + seconds
        while self.now < end:
            await asyncio.sleep(self.random.choice([0.0, 0.2, 1.0, 2.5]) * self.random.random())
            if self.random.random() < 0.7:
                await self._await_acknowledgement(end)
            self._inject_fault()
        core.late_share = core.loss_share = core.slow_share = 0.0
        while self.pending or self._count_lost():
            await asyncio.sleep(0.1)
        self.is_calm = True
        if self.must_answer:
            await self._check_liveness()
        await self._stop(orders)

    async def _await_acknowledgement(self, end):
        """Waits until the next order is acknowledged, and a few milliseconds more."""
        known = self.acknowledged
        while self.acknowledged == known and self.now < end:
            await asyncio.sleep(0.002)
        await asyncio.sleep(self.random.uniform(0.0, 0.02))

    async def _stop(self, orders):
        orders.cancel()
        await asyncio.gather(orders, return_exceptions=True)
        if not orders.cancelled() and orders.exception() is not None:
            raise orders.exception()

    async def _check_liveness(self):
        core = self.core
        down = self._stop_tolerated_losses()
        end = self.now + ANSWER_BOUND_SECONDS
        answered = False
        while self.now < end and not answered:
            answered = await self.order_once(min(0.5, end - self.now))
        assert answered, f"no majority answers; {self.describe()}"
        for address in down:
            core.machines[address].start()
        end = self.now + VOTE_BOUND_SECONDS
        while self.now < end and not self.is_whole():
            await asyncio.sleep(0.1)
        assert self.is_whole(), f"not every member votes; {self.describe()}"
        assert await self.order_once(1.0), self.describe()

    def is_whole(self):
        """Whether the view has its full size and each member votes."""
        members = self.core.view().members
        return len(members) == 2 * self.losses + 1 and set(self.core.voters()) == set(members)

    def _stop_tolerated_losses(self):
        members = [peer for peer in self.core.view().members if self.core.machines[peer].is_up]
        down = self.random.sample(members, min(len(members), self.random.randint(0, self.losses)))
        for address in down:
            self.core.machines[address].stop()
        return down

    def describe(self):
        lines = [f"now {self.now - 1000:.3f}", str(self.events[-16:]), str(self.core.view())]
        for machine in self.core.machines.values():
            acceptor = machine.acceptor
            lines.append(
                f"{machine.address} up={machine.is_up} {acceptor.voting_status.value} "
                f"{acceptor.view} generation={acceptor.generation[:6]} generations="
                f"{ {k: v[:6] for k, v in acceptor.known_generations.items()} }"
            )
        return "\n".join(lines)

    # -- orders

    async def _order(self):
        running = set()
        while True:
            request = self.read_once if self.random.random() < 0.3 else self.order_once
            running.add(self.core.loop.create_task(request()))
            await asyncio.sleep(self.random.uniform(0.01, 0.12))
            for task in [task for task in running if task.done()]:
                running.discard(task)
                task.result()

    async def order_once(self, seconds=1.3):
        """Sends an order to a random machine; returns whether it was acknowledged."""
        up = [each for each in self.core.machines.values() if each.is_up and each.acceptor.view]
        if not up:
            return False
        self.next_number += 1
        number, floor = self.next_number, self.acknowledged
        machine = self.random.choice(up)
        change = set_configuration(number, f"{machine.address} {number}".encode())
        try:
            state = await machine.change("configuration", change, seconds)
        except (MeshError, asyncio.CancelledError):
            return False
        except BaseException as error:
            if type(error).__name__ != "PowerLost":
                raise
            return False
        assert state.number >= floor, f"an acknowledged record was lost; {self.describe()}"
        first = self.values.setdefault(state.number, state.value)
        assert first == state.value, (
            f"two values were acknowledged under one number; {self.describe()}"
        )
        self.acknowledged = max(self.acknowledged, state.number)
        return True

    async def read_once(self):
        """Reads at a random machine; what was acknowledged before must be shown."""
        up = [each for each in self.core.machines.values() if each.is_up and each.acceptor.view]
        if not up:
            return False
        floor, machine = self.acknowledged, self.random.choice(up)
        call = messages_pb2.RegisterCall(kind=RegisterCallKind.DESCRIBE, register="configuration")
        try:
            answer = await machine.execute(call)
        except asyncio.CancelledError:
            return False
        except BaseException as error:
            if type(error).__name__ != "PowerLost":
                raise
            return False
        if answer.outcome != Outcome.APPLIED:
            return False
        assert answer.number >= floor, f"a read showed an older record; {self.describe()}"
        if answer.number:
            first = self.values.setdefault(answer.number, answer.value)
            assert first == answer.value, f"a read showed another record; {self.describe()}"
        # Later reads show nothing older.
        self.acknowledged = max(self.acknowledged, answer.number)
        return True

    # -- faults

    def _count_lost(self):
        self.lost_until = {
            address: end for address, end in self.lost_until.items() if end > self.now
        }
        return len(self.lost_until)

    def _inject_fault(self):
        if self._count_lost() >= self.losses:
            return
        core = self.core
        healthy = [
            member
            for member in core.view().members
            if member not in self.lost_until
            and core.machines[member].is_up
            and member not in self.pending
        ]
        if not healthy:
            return
        address = self.random.choice(healthy)
        fault = self.random.choice(
            [
                self._lose_power,
                self._lose_disk,
                self._cut,
                self._lose_power_in_write,
                self._replace,
                self._replace_planned,
            ]
        )
        self.events.append((round(self.now - 1000, 3), fault.__name__, address))
        self.lost_until[address] = float("inf")
        self.pending.add(address)
        task = core.loop.create_task(fault(address))
        task.add_done_callback(lambda task: self._finish_fault(task, address))

    def _finish_fault(self, task, address):
        self.pending.discard(address)
        if not task.cancelled():
            task.result()

    async def _record_return(self, address, since=None):
        self.lost_until[address] = (since or self.now) + CATCH_UP_SECONDS
        self.events.append((round(self.now - 1000, 3), "back", address))

    async def _lose_power(self, address):
        self.core.machines[address].stop()
        await asyncio.sleep(self.random.uniform(0.05, 4.0))
        self.core.machines[address].start()
        await self._record_return(address)

    async def _lose_disk(self, address):
        machine = self.core.machines[address]
        machine.wipe()
        for _ in range(self.random.randint(1, 3)):
            await asyncio.sleep(self.random.uniform(0.05, 2.0))
            # Repeatedly, at any point of recovery.
            machine.wipe()
            machine.start()
        await self._record_return(address)

    async def _cut(self, address):
        self.core.cut(address, one_way=self.random.random() < 0.3)
        await asyncio.sleep(self.random.uniform(0.1, 5.0))
        self.core.heal(address)
        await self._record_return(address)

    async def _lose_power_in_write(self, address):
        """Cuts the power at one of the next writes, and perhaps again during the restart."""
        machine = self.core.machines[address]
        for _ in range(self.random.randint(1, 2)):
            machine.disk.writes_left = self.random.randint(1, 5)
            machine.disk.keeps_last = self.random.random() < 0.5
            await asyncio.sleep(self.random.uniform(0.5, 1.5))
            machine.disk.writes_left = None
            machine.stop()
            machine.start()
        await self._record_return(address)

    def _new_machine(self):
        machine = self.core.add(f"m{self.next_machine}:1")
        self.next_machine += 1
        # Its configuration names three of the machines that are up now.
        up = [other.address for other in self.core.machines.values() if other.is_up]
        machine.seeds = self.random.sample(up, min(3, len(up)))
        machine.start()
        return machine

    async def _replace(self, address):
        self.core.machines[address].wipe()
        await asyncio.sleep(self.random.uniform(0.3, 3.0))
        self._new_machine()
        await self._record_return(address)

    async def _replace_planned(self, address):
        """Adds the new machine first, then stops the old one by SIGTERM and drops its disk."""
        del self.lost_until[address]
        started_at = self.now
        self._new_machine()
        await asyncio.sleep(self.random.uniform(0.5, 9.0))
        if self._count_lost() >= self.losses and self.now < started_at + CATCH_UP_SECONDS:
            await asyncio.sleep(started_at + CATCH_UP_SECONDS - self.now)
        self.lost_until[address] = started_at + CATCH_UP_SECONDS
        self.events.append((round(self.now - 1000, 3), "sigterm", address))
        if self.core.machines[address].is_up:
            await self.core.machines[address].leave()
        self.events.append((round(self.now - 1000, 3), "left", address))
