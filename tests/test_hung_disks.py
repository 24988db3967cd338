"""Disks of one program that hang or lose writes: the other programs continue."""

import asyncio
import json
import threading

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule

from marblefold.history import recorder as history
from marblefold.http_connections.call_router import Call
from marblefold.ownership.background_records import BackgroundRecords
from tests.many_changes import change_of, register_name
from tests.simulated_replicas import Core
from tests.test_ownership import Disk, Ownership


def test_a_hung_store_does_not_delay_proposers():
    async def test():
        core = Core(3)
        hung = core.members[core.addresses[2]]
        never = asyncio.get_running_loop().create_future()
        real_call = core.members[core.addresses[0]].call

        async def call(peer, message):
            # A hung disk blocks the event loop of its store, which then answers no call.
            return await (never if peer == hung.address else real_call(peer, message))

        core.members[core.addresses[0]].call = call
        async with asyncio.timeout(20):
            for number in range(1, 21):
                state = await core.members[core.addresses[0]].proposer.change(
                    register_name(1), change_of(1, number), 1.0
                )
                assert state.number == number
        never.cancel()

    asyncio.run(test())


class HungRecords:
    """A disk on which every operation hangs until the test releases it."""

    def __init__(self):
        self.is_released, self.is_written = threading.Event(), threading.Event()
        self.records = {"site-claims": b"old"}

    def load(self):
        self.is_released.wait(20)
        return dict(self.records)

    def write(self, name, data):
        self.is_released.wait(20)
        self.records[name] = data
        if data == b"newest":
            self.is_written.set()


def test_a_hung_disk_does_not_delay_a_registry_with_claims():
    disk = HungRecords()
    records = BackgroundRecords(lambda: disk, load_timeout_seconds=0.01)
    assert records.load() == {}
    for number in range(100):
        records.write("site-claims", b"%d" % number)
    records.write("site-claims", b"newest")
    # At most one write is queued, however many were requested.
    assert records._thread._queue.qsize() <= 1
    assert records._thread._thread.daemon
    disk.is_released.set()
    assert disk.is_written.wait(20) and disk.records == {"site-claims": b"newest"}


def test_a_registry_answers_calls_on_its_history_while_the_disk_hangs(tmp_path, monkeypatch):
    released = threading.Event()
    monkeypatch.setattr(history, "_CALL_TIMEOUT_SECONDS", 0.01)

    async def test():
        recorder = history.HistoryRecorder(str(tmp_path))
        real_open = recorder._open
        recorder._open = lambda: (released.wait(20), real_open())[1]
        run = asyncio.create_task(recorder.run())
        # Every store sends each number, and late ones arrive after newer ones.
        for number in (3, 3, 2, 1, 3, 4):
            recorder.record(number, json.dumps({"config-version": number}).encode())
        for _ in range(20):
            assert (await recorder._list(Call("", b""))).status == 503
            assert (await recorder._show(Call("r3", b""))).status == 503
        assert recorder._queue.qsize() <= 1 and recorder._thread._thread.daemon
        released.set()
        monkeypatch.setattr(history, "_CALL_TIMEOUT_SECONDS", 20)
        async with asyncio.timeout(20):
            while len(json.loads((await recorder._list(Call("", b""))).body)["versions"]) < 2:
                await asyncio.sleep(0)
        versions = json.loads((await recorder._list(Call("", b""))).body)["versions"]
        assert [version["config-version"] for version in versions] == [4, 3]
        run.cancel()

    asyncio.run(test())


class LossyDisk(Disk):
    """Discards writes while `keeps_writes` is false."""

    keeps_writes = True

    def write(self, name, data):
        if self.keeps_writes:
            super().write(name, data)


class OwnershipOnFailingDisks(Ownership):
    """The model of ownership, with claims that reach the disk late or never."""

    @rule(index=st.integers(0, 1), keeps_writes=st.booleans())
    def set_disk_errors(self, index, keeps_writes):
        site = self.world.sites[index]
        if not isinstance(site.records, LossyDisk):
            site.records = LossyDisk(site.records.records)
            site.agent._records = site.records
        site.records.keeps_writes = keeps_writes


TestOwnershipOnFailingDisks = OwnershipOnFailingDisks.TestCase
TestOwnershipOnFailingDisks.settings = settings(
    max_examples=60, stateful_step_count=60, deadline=None
)
