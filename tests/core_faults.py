"""Random troubles of a simulated core, never more at once than are to be borne.

A machine counts as lost while it is down or cut off and for the catch-up time
after; one that was removed, until its successor has had that time.
"""

import asyncio

from marblefold.errors import MeshError
from marblefold.register_store.changes import hold_configuration
from tests.simulated_core import Core

CATCH_UP = 6.0
# Seconds until a majority answers, and until each member votes, once the
# machines that are not borne as lost are back and have caught up.
ANSWER_BOUND = 2.0
VOTE_BOUND = 5.0


class FaultInjection:
    """One run: orders all the time, troubles within the budget, then calm."""

    def __init__(self, seed, losses, must_answer=True):
        # Whether a majority must answer in time at the end, beside safety.
        self.must_answer = must_answer
        self.core = Core(seed, losses, 2 * losses + 1)
        self.chance = self.core.chance
        self.losses = losses
        self.lost_until = {}
        self.next_machine = len(self.core.machines)
        self.next_number = 0
        self.acknowledged = 0
        self.values = {}
        self.done = []
        self.is_calm = False
        self.pending = set()

    @property
    def now(self):
        return self.core.loop.time()

    def play(self, seconds=24.0):
        self.core.run(self._play(seconds))

    async def _play(self, seconds):
        orders = self.core.loop.create_task(self._order())
        await asyncio.sleep(CATCH_UP)
        assert self.is_whole(), f"not grown in time; {self.describe()}"
        core = self.core
        core.late_share, core.loss_share, core.slow_share = 0.01, 0.005, 0.2
        end = self.now + seconds
        while self.now < end:
            await asyncio.sleep(self.chance.choice([0.0, 0.2, 1.0, 2.5]) * self.chance.random())
            if self.chance.random() < 0.7:
                await self._await_acknowledgement(end)
            self._strike()
        core.late_share = core.loss_share = core.slow_share = 0.0
        while self.pending or self._count_lost():
            await asyncio.sleep(0.1)
        self.is_calm = True
        if self.must_answer:
            await self._check_liveness()
        await self._stop(orders)

    async def _await_acknowledgement(self, end):
        """Until the next order is acknowledged, and a few milliseconds more."""
        known = self.acknowledged
        while self.acknowledged == known and self.now < end:
            await asyncio.sleep(0.002)
        await asyncio.sleep(self.chance.uniform(0.0, 0.02))

    async def _stop(self, orders):
        orders.cancel()
        await asyncio.gather(orders, return_exceptions=True)
        if not orders.cancelled() and orders.exception() is not None:
            raise orders.exception()

    async def _check_liveness(self):
        core = self.core
        down = self._take_borne_losses()
        end = self.now + ANSWER_BOUND
        answered = False
        while self.now < end and not answered:
            answered = await self.order_once(min(0.5, end - self.now))
        assert answered, f"no majority answers; {self.describe()}"
        for address in down:
            core.machines[address].start()
        end = self.now + VOTE_BOUND
        while self.now < end and not self.is_whole():
            await asyncio.sleep(0.1)
        assert self.is_whole(), f"not every member votes; {self.describe()}"
        assert await self.order_once(1.0), self.describe()

    def is_whole(self):
        """Whether the view has its full size and each member votes."""
        members = self.core.view().members
        return len(members) == 2 * self.losses + 1 and set(self.core.voters()) == set(members)

    def _take_borne_losses(self):
        members = [peer for peer in self.core.view().members if self.core.machines[peer].is_up]
        down = self.chance.sample(members, min(len(members), self.chance.randint(0, self.losses)))
        for address in down:
            self.core.machines[address].stop()
        return down

    def describe(self):
        lines = [f"now {self.now - 1000:.3f}", str(self.done[-16:]), str(self.core.view())]
        for machine in self.core.machines.values():
            acceptor = machine.acceptor
            lines.append(
                f"{machine.address} up={machine.is_up} {acceptor.voting_status.value} "
                f"{acceptor.view} life={acceptor.generation[:6]} lives="
                f"{ {k: v[:6] for k, v in acceptor.known_generations.items()} }"
            )
        return "\n".join(lines)

    # -- orders

    async def _order(self):
        running = set()
        while True:
            running.add(self.core.loop.create_task(self.order_once()))
            await asyncio.sleep(self.chance.uniform(0.01, 0.12))
            for task in [task for task in running if task.done()]:
                running.discard(task)
                task.result()

    async def order_once(self, seconds=1.3):
        """Orders at some machine; whether it was acknowledged."""
        up = [m for m in self.core.machines.values() if m.is_up and m.acceptor.view]
        if not up:
            return False
        self.next_number += 1
        number, floor = self.next_number, self.acknowledged
        machine = self.chance.choice(up)
        change = hold_configuration(number, f"{machine.address} {number}".encode())
        try:
            holding = await machine.change("configuration", change, seconds)
        except (MeshError, asyncio.CancelledError):
            return False
        except BaseException as error:
            if type(error).__name__ != "PowerLost":
                raise
            return False
        assert holding.number >= floor, f"an acknowledged record was lost; {self.describe()}"
        known = self.values.setdefault(holding.number, holding.value)
        assert known == holding.value, f"the register forked; {self.describe()}"
        self.acknowledged = max(self.acknowledged, holding.number)
        return True

    # -- troubles

    def _count_lost(self):
        self.lost_until = {a: t for a, t in self.lost_until.items() if t > self.now}
        return len(self.lost_until)

    def _strike(self):
        if self._count_lost() >= self.losses:
            return
        core = self.core
        healthy = [
            a
            for a in core.view().members
            if a not in self.lost_until and core.machines[a].is_up and a not in self.pending
        ]
        if not healthy:
            return
        address = self.chance.choice(healthy)
        trouble = self.chance.choice(
            [self._power, self._wipe, self._cut, self._tear, self._replace, self._plan]
        )
        self.done.append((round(self.now - 1000, 3), trouble.__name__, address))
        self.lost_until[address] = float("inf")
        self.pending.add(address)
        task = core.loop.create_task(trouble(address))
        task.add_done_callback(lambda task: self._end(task, address))

    def _end(self, task, address):
        self.pending.discard(address)
        if not task.cancelled():
            task.result()

    async def _back(self, address, since=None):
        self.lost_until[address] = (since or self.now) + CATCH_UP
        self.done.append((round(self.now - 1000, 3), "back", address))

    async def _power(self, address):
        self.core.machines[address].stop()
        await asyncio.sleep(self.chance.uniform(0.05, 4.0))
        self.core.machines[address].start()
        await self._back(address)

    async def _wipe(self, address):
        machine = self.core.machines[address]
        machine.wipe()
        for _ in range(self.chance.randint(1, 3)):
            await asyncio.sleep(self.chance.uniform(0.05, 2.0))
            # Again and again, at any point of reading.
            machine.wipe()
            machine.start()
        await self._back(address)

    async def _cut(self, address):
        self.core.cut(address, one_way=self.chance.random() < 0.3)
        await asyncio.sleep(self.chance.uniform(0.1, 5.0))
        self.core.heal(address)
        await self._back(address)

    async def _tear(self, address):
        """Power fails at one of the next writes, and again while it starts."""
        machine = self.core.machines[address]
        for _ in range(self.chance.randint(1, 2)):
            machine.disk.writes_left = self.chance.randint(1, 5)
            machine.disk.keeps_last = self.chance.random() < 0.5
            await asyncio.sleep(self.chance.uniform(0.5, 1.5))
            machine.disk.writes_left = None
            machine.stop()
            machine.start()
        await self._back(address)

    def _new_machine(self):
        machine = self.core.add(f"m{self.next_machine}:1")
        self.next_machine += 1
        # Its file names three machines of the list as it is now.
        up = [other.address for other in self.core.machines.values() if other.is_up]
        machine.seeds = self.chance.sample(up, min(3, len(up)))
        machine.start()
        return machine

    async def _replace(self, address):
        self.core.machines[address].wipe()
        await asyncio.sleep(self.chance.uniform(0.3, 3.0))
        self._new_machine()
        await self._back(address)

    async def _plan(self, address):
        """The new one first, then SIGTERM of the old, whose disk is gone."""
        del self.lost_until[address]
        began = self.now
        self._new_machine()
        await asyncio.sleep(self.chance.uniform(0.5, 9.0))
        if self._count_lost() >= self.losses and self.now < began + CATCH_UP:
            await asyncio.sleep(began + CATCH_UP - self.now)
        self.lost_until[address] = began + CATCH_UP
        self.done.append((round(self.now - 1000, 3), "sigterm", address))
        if self.core.machines[address].is_up:
            await self.core.machines[address].leave()
        self.done.append((round(self.now - 1000, 3), "left", address))
