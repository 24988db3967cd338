"""Disks that answer nothing, or lose what is written, in one program; the others go on."""

import asyncio
import json
import threading

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule

from marblefold.history import keeper as history
from marblefold.http_connections.call_router import Call
from marblefold.ownership.background_records import BackgroundRecords
from tests.many_changes import put, register_of
from tests.simulated_replicas import Core
from tests.test_ownership import Disk, Ownership


def test_a_store_that_hangs_holds_up_no_proposer():
    async def test():
        core = Core(3)
        hung = core.members[core.addresses[2]]
        never = asyncio.get_running_loop().create_future()
        reached = core.members[core.addresses[0]].call

        async def call(peer, message):
            # Its disk answers nothing, so its loop answers nobody.
            return await (never if peer == hung.address else reached(peer, message))

        core.members[core.addresses[0]].call = call
        async with asyncio.timeout(20):
            for number in range(1, 21):
                holding = await core.members[core.addresses[0]].proposer.change(
                    register_of(1), put(1, number), 1.0
                )
                assert holding.number == number
        never.cancel()

    asyncio.run(test())


class HungRecords:
    """A disk that answers nothing until the test lets it."""

    def __init__(self):
        self.is_free, self.is_written = threading.Event(), threading.Event()
        self.records = {"site-claims": b"old"}

    def load(self):
        self.is_free.wait(20)
        return dict(self.records)

    def write(self, name, data):
        self.is_free.wait(20)
        self.records[name] = data
        if data == b"newest":
            self.is_written.set()


def test_a_hung_disk_holds_up_no_registry_with_claims():
    disk = HungRecords()
    records = BackgroundRecords(lambda: disk, most_load_seconds=0.01)
    assert records.load() == {}
    for number in range(100):
        records.write("site-claims", b"%d" % number)
    records.write("site-claims", b"newest")
    # One write waits, however many were asked for.
    assert records._thread._work.qsize() <= 1
    assert records._thread._thread.daemon
    disk.is_free.set()
    assert disk.is_written.wait(20) and disk.records == {"site-claims": b"newest"}


def test_a_registry_answers_calls_on_its_history_while_the_disk_hangs(tmp_path, monkeypatch):
    free = threading.Event()
    monkeypatch.setattr(history, "_CALL_SECONDS", 0.01)

    async def test():
        keeper = history.HistoryKeeper(str(tmp_path))
        opened = keeper._open
        keeper._open = lambda: (free.wait(20), opened())[1]
        run = asyncio.create_task(keeper.run())
        # Every store tells each number, and late ones come after newer ones.
        for number in (3, 3, 2, 1, 3, 4):
            keeper.take(number, json.dumps({"config-version": number}).encode())
        for _ in range(20):
            assert (await keeper._list(Call("", b""))).status == 503
            assert (await keeper._show(Call("r3", b""))).status == 503
        assert keeper._waiting.qsize() <= 1 and keeper._thread._thread.daemon
        free.set()
        monkeypatch.setattr(history, "_CALL_SECONDS", 20)
        async with asyncio.timeout(20):
            while len(json.loads((await keeper._list(Call("", b""))).body)["versions"]) < 2:
                await asyncio.sleep(0)
        versions = json.loads((await keeper._list(Call("", b""))).body)["versions"]
        assert [version["config-version"] for version in versions] == [4, 3]
        run.cancel()

    asyncio.run(test())


class LossyDisk(Disk):
    """Keeps what is written only while the test lets it."""

    is_well = True

    def write(self, name, data):
        if self.is_well:
            super().write(name, data)


class OwnershipOnFailingDisks(Ownership):
    """The model of ownership, with claims that reach the disk late or never."""

    @rule(index=st.integers(0, 1), is_well=st.booleans())
    def trouble(self, index, is_well):
        site = self.world.sites[index]
        if not isinstance(site.records, LossyDisk):
            site.records = LossyDisk(site.records.records)
            site.agent._records = site.records
        site.records.is_well = is_well


TestOwnershipOnFailingDisks = OwnershipOnFailingDisks.TestCase
TestOwnershipOnFailingDisks.settings = settings(
    max_examples=60, stateful_step_count=60, deadline=None
)
