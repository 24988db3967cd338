"""A store's bounds after 1,000 changes of 200 registers: nothing grows with the changes.

And a member that was away for all of them: how many rounds until it holds
everything, and that what it tells a registry is never older than before.
"""

import asyncio
import gc
import random
import tracemalloc

import pytest

from marblefold.errors import MeshError
from marblefold.register_store.acceptor import META_RECORD, Acceptor, Standing
from marblefold.register_store.register_files import RegisterFiles
from tests.many_changes import (
    CHANGES,
    REGISTERS,
    Registry,
    bytes_chosen_at,
    change_all,
    chosen_at,
    held_by,
    numbers_of,
    put,
    register_of,
)
from tests.simulated_disk import FOLDER, SimulatedDisk
from tests.simulated_replicas import Core
from tests.simulated_stores import MemoryRecords

# The whole of one answer between stores, with room for what is around it.
PIECE = 40 * 1024


def test_disk_files_and_start_do_not_grow_with_the_changes(monkeypatch):
    disk = SimulatedDisk()
    disk.install(monkeypatch)
    files = RegisterFiles(FOLDER, META_RECORD)
    sizes = {}

    async def test():
        core = Core(1, lambda: files)
        start = await change_all(core, lambda _number: core.addresses[0], REGISTERS)
        sizes["few"] = measure(disk)
        for round_of in range(4):
            start |= await change_all(
                core, lambda _number: core.addresses[0], REGISTERS, seed=round_of
            )
        sizes["many"] = measure(disk)
        return start

    def measure(disk):
        disk.operations = disk.syncs = 0
        acceptor = Acceptor("10.0.0.1:7103", RegisterFiles(FOLDER, META_RECORD), [], False)
        assert acceptor.voting_status is Standing.VOTING
        bytes_held = sum(len(inode.data) for inode in disk.names.values())
        return len(disk.names), bytes_held, disk.operations, disk.syncs

    expected = asyncio.run(test())
    acceptor = Acceptor("10.0.0.1:7103", RegisterFiles(FOLDER, META_RECORD), [], False)
    assert len(expected) == REGISTERS
    assert {
        name: (held.number, held.value) for name, held in acceptor.accepted_states.items()
    } == expected
    count, bytes_held, operations, syncs = sizes["many"]
    print("files, bytes, operations and syncs of a start:", sizes)
    # Three files a record, one record a register and one for the store itself.
    assert count == 3 * (REGISTERS + 1) == sizes["few"][0]
    assert bytes_held < 1.1 * sizes["few"][1] and bytes_held < 600_000
    # Four opens and two syncs a record, one listing, one sync of the folder.
    assert operations == 6 * (REGISTERS + 1) + 2 == sizes["few"][2]
    assert syncs == 2 * (REGISTERS + 1) + 1


def test_memory_does_not_grow_with_the_changes():
    async def test():
        core = Core(3)
        await change_all(core, lambda _number: core.addresses[0], REGISTERS)
        few = traced_bytes()
        await change_all(core, lambda _number: core.addresses[0], CHANGES)
        many = traced_bytes()
        print("bytes held by three stores:", few, many)
        assert few < 3 * 2 * 1024 * 1024 and many < 1.1 * few
        for member in core.members.values():
            assert len(member.acceptor.accepted_states) == len(member.chosen.holdings) == REGISTERS

    tracemalloc.start()
    try:
        asyncio.run(test())
    finally:
        tracemalloc.stop()


def traced_bytes():
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


@pytest.mark.parametrize("is_wiped", [False, True])
@pytest.mark.parametrize("began_with", [0, 1])
def test_a_member_away_for_all_changes_catches_up_in_a_bounded_number_of_rounds(
    is_wiped, began_with
):
    async def test():
        core = Core(5)
        away = core.addresses[4]
        others = core.addresses[:4]
        if began_with:
            # It holds an older content of every register.
            await change_all(core, lambda _number: others[0], REGISTERS)
        core.away.add(away)
        expected = await change_all(core, lambda number: others[number % 4])
        core.away.discard(away)
        member = core.restart(away, MemoryRecords() if is_wiped else None)
        registry = Registry()
        registry.watch(member)
        core.reset_counts()
        rounds = 0
        while chosen_at(member) != expected or held_by(member) != expected:
            rounds += 1
            assert rounds < 20
            seen = registry.numbers()
            await core.run_round(away)
            # What it tells is chosen, and never older than what it told before.
            for register, number in registry.numbers().items():
                assert number == expected[register][0] >= seen.get(register, 0)
        whole = bytes_chosen_at(member)
        print("rounds", rounds, "calls", dict(core.calls), "bytes", core.bytes, "held", whole)
        # A wiped one learns the members in one more round.
        assert rounds <= 1 + is_wiped
        assert member.acceptor.voting_status is Standing.VOTING
        assert registry.numbers() == numbers_of(expected)
        # It took what others know: it proposed nothing.
        assert core.calls["prepare"] == core.calls["accept"] == 0
        # And its vote counts: with two others away it makes a majority.
        core.away.update(others[:2])
        holding = await core.change(others[2], register_of(1), put(1, 1))
        assert held_by(member)[register_of(1)] == (holding.number, holding.value)

    asyncio.run(test())


def test_comparing_costs_the_same_for_any_number_of_registers_and_changes():
    async def test():
        costs = {}
        for registers, changes in ((2, 2), (REGISTERS, REGISTERS), (REGISTERS, CHANGES)):
            core = Core(5)
            await change_all(core, lambda _number, core=core: core.addresses[0], changes, registers)
            await core.run_round()
            core.reset_counts()
            await core.run_round(core.addresses[1])
            assert dict(core.calls) == {"compare": 4}
            costs[registers, changes] = core.bytes
        print("bytes of one round with four peers:", costs)
        assert len(set(costs.values())) == 1
        assert costs[REGISTERS, CHANGES] <= 4 * 256

    asyncio.run(test())


def test_one_answer_is_bounded_and_one_peer_is_asked_for_it():
    async def test():
        core = Core(5)
        core.away.add(core.addresses[4])
        await change_all(core, lambda _number: core.addresses[0])
        core.away.clear()
        core.reset_counts()
        member = core.restart(core.addresses[4])
        await core.run_round(core.addresses[4])
        assert len(member.chosen.holdings) == REGISTERS
        assert core.largest <= PIECE
        # Every member says whether it differs, one gives what is new, in pieces.
        whole = bytes_chosen_at(member)
        assert 4 + whole // PIECE < core.calls["compare"] <= 4 + whole // (30 * 1024) + 2

    asyncio.run(test())


def test_after_a_start_of_all_each_register_is_settled_about_once():
    async def test():
        core = Core(5)
        expected = await change_all(core, lambda _number: core.addresses[0])
        for address in core.addresses:
            core.restart(address)
        core.reset_counts()
        registries = {address: Registry() for address in core.addresses}
        for address, registry in registries.items():
            registry.watch(core.members[address])
        await asyncio.gather(*(core.run_round(address) for address in core.addresses))
        print("calls of a start of all:", dict(core.calls), "bytes", core.bytes)
        await core.run_round()
        for address, registry in registries.items():
            assert chosen_at(core.members[address]) == expected
            assert registry.numbers() == numbers_of(expected)
        # Four peers for each register, not four for each register and member.
        assert core.calls["prepare"] < 2 * 4 * REGISTERS

    asyncio.run(test())


def test_a_store_alone_and_behind_tells_a_registry_nothing():
    async def test():
        core = Core(3)
        await change_all(core, lambda _number: core.addresses[0], REGISTERS)
        core.away.add(core.addresses[2])
        await change_all(core, lambda _number: core.addresses[0])
        # Started anew without the others: what it holds may be old, or never chosen.
        core.away = set(core.addresses[:2])
        member = core.restart(core.addresses[2])
        registry = Registry()
        registry.watch(member)
        for _ in range(3):
            await core.run_round(core.addresses[2])
            # The round tells its failures to the log; what it found out is nothing.
            with pytest.raises(MeshError, match="no majority"):
                await member.replica._act()
        assert held_by(member) and not member.chosen.holdings and registry.told == 0

    asyncio.run(test())


def test_older_records_told_late_change_nothing_in_a_registry():
    async def test():
        core = Core(3)
        told = []

        class Recorder:
            def send(self, _kind, _number, payload):
                told.append(payload)

        core.members[core.addresses[0]].chosen.watch(Recorder())
        expected = await change_all(core, lambda _number: core.addresses[0], 300, 20)
        registry = Registry()
        place, newest = 0, {}
        chance = random.Random(3)
        # Each record from three stores, in any order, older ones after newer ones.
        late = told * 3
        chance.shuffle(late)
        for payload in late:
            registry.send(None, 0, payload)
            numbers = registry.numbers()
            assert all(numbers[register] >= number for register, number in newest.items())
            place, newest = registry.catalogue.place, numbers
        assert newest == numbers_of(expected) and place <= len(told)
        # A record of a lower ballot does not come into the chosen ones either.
        chosen = core.members[core.addresses[1]].chosen
        before = dict(chosen.holdings)
        for register, holding in before.items():
            older = holding._replace(ballot=holding.ballot._replace(counter=0), number=99)
            assert not chosen.put(register, older)
        assert chosen.holdings == before

    asyncio.run(test())
