"""Configuration reads that got no answer for seconds while a majority of the stores was up.

Reads were ballots: those of several registries outbid each other and the operator's
changes, and with only a majority left each lost ballot waited for the stores that were down.
"""

import asyncio

import pytest

from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.call_kinds import Outcome, RegisterCallKind
from tests.simulated_core import Core

REGISTER = "configuration"
CHANGE_INTERVAL_SECONDS = 0.4
READ_PAUSE_SECONDS = 0.1
# A registry answers its caller within this time, by 503 if no store has answered.
ANSWER_SECONDS = 0.9
# After this time without an answer a registry asks a second store, which is one more proposer.
HEDGE_DELAY_SECONDS = 0.4
# Time within which a core grows to its full size, or takes a lost member for lost (catch-up-s).
CATCH_UP_SECONDS = 6.0
# Time after the last start within which every registry answers again (contact-window-ms).
RECOVERY_SECONDS = 3.0


class Readers:
    """Clients that read the configuration at every store's registry, and an operator."""

    def __init__(self, core, clients_per_registry):
        self.core = core
        self.clients_per_registry = clients_per_registry
        self.acknowledged = self.next_number = 0
        self.answered = self.sent_changes = 0
        self.unanswered = []

    async def run(self, machines, seconds):
        """Reads and changes at the machines for some seconds."""
        end = self.core.loop.time() + seconds
        clients = [
            self._read_until(end, machine)
            for machine in machines
            for _ in range(self.clients_per_registry)
        ]
        await asyncio.gather(*clients, self._change_until(end, machines))

    async def ask(self, machine, call):
        """Returns the answer of the registry's own store, or None if it is late or unknown."""
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                answer = await machine.execute(call)
        except TimeoutError:
            return None
        return answer if answer.outcome == Outcome.APPLIED else None

    async def _read_until(self, end, machine):
        await asyncio.sleep(self.core.random.uniform(0.0, READ_PAUSE_SECONDS))
        while self.core.loop.time() < end:
            acknowledged = self.acknowledged
            call = messages_pb2.RegisterCall(kind=RegisterCallKind.DESCRIBE, register=REGISTER)
            answer = await self.ask(machine, call)
            if answer is None:
                self.unanswered.append((machine.address, self.core.loop.time()))
            else:
                self.answered += 1
                assert answer.number >= acknowledged, "an acknowledged change was not shown"
            await asyncio.sleep(READ_PAUSE_SECONDS)

    async def _change_until(self, end, machines):
        while self.core.loop.time() < end:
            self.next_number += 1
            call = messages_pb2.RegisterCall(
                kind=RegisterCallKind.CONFIGURATION,
                register=REGISTER,
                number=self.next_number,
                value=b"configuration %d" % self.next_number,
            )
            self.sent_changes += 1
            if await self.ask(self.core.random.choice(machines), call) is not None:
                self.acknowledged = self.next_number
            await asyncio.sleep(CHANGE_INTERVAL_SECONDS)


def make_core(seed):
    """Five machines that bear two losses, of which the seeds name three."""
    return Core(seed, losses=2, first_machines=5)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("clients", [1, 8])
def test_every_read_is_answered_beside_changes_when_nothing_fails(seed, clients):
    core = make_core(seed)
    readers = Readers(core, clients)

    async def run_scenario():
        await asyncio.sleep(CATCH_UP_SECONDS)
        await readers.run(list(core.machines.values()), 8.0)

    core.run(run_scenario())
    assert readers.unanswered == [] and readers.answered > 50 * clients
    assert readers.acknowledged == readers.next_number


@pytest.mark.parametrize("seed", range(3))
def test_every_read_is_answered_while_two_of_five_say_nothing(seed):
    core = make_core(seed)
    readers = Readers(core, 1)

    async def run_scenario():
        await asyncio.sleep(CATCH_UP_SECONDS)
        silent = core.random.sample(sorted(core.view().members), 2)
        for address in silent:
            # Calls to them get no answer, as after a loss of power.
            core.cut(address)
        await asyncio.sleep(CATCH_UP_SECONDS)
        rest = [machine for name, machine in core.machines.items() if name not in silent]
        await readers.run(rest, 8.0)

    core.run(run_scenario())
    assert readers.unanswered == [] and readers.acknowledged == readers.next_number


@pytest.mark.parametrize("seed", range(6))
def test_reads_are_answered_in_time_after_two_disks_are_lost_in_a_loss_of_power(seed):
    core = make_core(seed)
    readers = Readers(core, 1)

    async def run_scenario():
        await asyncio.sleep(CATCH_UP_SECONDS)
        machines = list(core.machines.values())
        await readers.run(machines, 2.0)
        for machine in machines:
            machine.stop()
        for machine in core.random.sample(machines, 2):
            machine.wipe()
        for machine in machines:
            await asyncio.sleep(core.random.uniform(0.0, 0.3))
            machine.start()
        readers.unanswered.clear()
        started_at = core.loop.time()
        await readers.run(machines, CATCH_UP_SECONDS)
        late = [at - started_at for _, at in readers.unanswered]
        assert max(late, default=0.0) < RECOVERY_SECONDS, late

    core.run(run_scenario())


@pytest.mark.parametrize("seed", range(6))
def test_racing_operators_are_answered_in_time_while_two_of_five_say_nothing(seed):
    """A ballot that one store refuses must not wait for the stores that are down."""
    core = make_core(seed)
    latencies = []

    async def change_repeatedly(machine, numbers):
        for number in numbers:
            began_at = core.loop.time()
            call = messages_pb2.RegisterCall(
                kind=RegisterCallKind.CONFIGURATION,
                register=REGISTER,
                number=number,
                value=machine.address.encode(),
            )
            answer = await machine.execute(call)
            latencies.append(core.loop.time() - began_at)
            assert answer.outcome != Outcome.UNKNOWN
            await asyncio.sleep(CHANGE_INTERVAL_SECONDS)

    async def run_scenario():
        await asyncio.sleep(CATCH_UP_SECONDS)
        silent = core.random.sample(sorted(core.view().members), 2)
        for address in silent:
            core.cut(address)
        rest = [machine for name, machine in core.machines.items() if name not in silent]
        await asyncio.gather(
            change_repeatedly(rest[0], range(1, 60, 2)),
            change_repeatedly(rest[1], range(2, 60, 2)),
        )

    core.run(run_scenario())
    assert max(latencies) < HEDGE_DELAY_SECONDS
