"""Records on disk survive power losses, killed processes, and full and failing disks.

A power loss keeps or loses every unsynced create, rename and removal
independently, and leaves the bytes of unsynced files missing, truncated, zeroed
or complete.
"""

import contextlib
import gc
import random

import pytest

from marblefold.errors import DiskError
from marblefold.register_store.register_files import RegisterFiles
from tests.simulated_disk import FOLDER, PowerLost, SimulatedDisk

NAME = "register/configuration"
# Of equal length, so that the files of two pairs could be combined.
VALUES = [b"%03d" % number * 40 for number in range(400)]


@pytest.fixture(autouse=True)
def no_files_of_earlier_tests():
    """Collects files that an earlier test left open.

    Such a file is written when it is collected, and would otherwise be written
    to the simulated disk of the current test.
    """
    gc.collect()


def open_files(disk, monkeypatch):
    disk.install(monkeypatch)
    return RegisterFiles(FOLDER)


def pairs_on(disk):
    return {name.rpartition(".")[0] for name in disk.names}


def crash_states(monkeypatch, written):
    """After complete writes, yields every state that a crash during one more may leave."""
    crash_point = 0
    while True:
        crash_point += 1
        disk = SimulatedDisk()
        files = open_files(disk, monkeypatch)
        for data in VALUES[:written]:
            files.write(NAME, data)
        disk.power_loss_at = disk.operations + crash_point
        try:
            files.write(NAME, VALUES[written])
            is_finished = True
        except PowerLost:
            is_finished = False
        # Closes the files that the ended process left open while its disk is in use.
        gc.collect()
        yield is_finished, set(disk.states_after_power_loss())
        if is_finished:
            return


@pytest.mark.parametrize("written", [1, 2])
def test_no_crash_in_a_write_loses_the_write_before_it(monkeypatch, written):
    seen = set()
    for is_finished, states in crash_states(monkeypatch, written):
        allowed = {VALUES[written]} if is_finished else {VALUES[written - 1], VALUES[written]}
        for state in states if is_finished else states - seen:
            disk = SimulatedDisk(state)
            records = open_files(disk, monkeypatch).load()
            assert records.get(NAME) in allowed, sorted(name for name, _data in state)
            assert len(pairs_on(disk)) == 1
        seen |= states
    assert len(seen) > 300


def test_the_parts_of_two_writes_under_one_number_never_make_a_pair(monkeypatch):
    disk = SimulatedDisk()
    files = open_files(disk, monkeypatch)
    files.write(NAME, VALUES[0])
    initial = {name: inode.data for name, inode in disk.names.items()}
    files.write(NAME, VALUES[1])
    # The second write got as far as its data file: a start removes it and uses its
    # number again.
    initial |= {name: inode.data for name, inode in disk.names.items() if name.endswith(".2.dat")}
    crash_point, is_finished = 0, False
    while not is_finished:
        crash_point += 1
        disk = SimulatedDisk(initial)
        files = open_files(disk, monkeypatch)
        assert files.load() == {NAME: VALUES[0]}
        disk.power_loss_at = disk.operations + crash_point
        with contextlib.suppress(PowerLost):
            files.write(NAME, VALUES[2])
            is_finished = True
        for state in set(disk.states_after_power_loss()):
            records = open_files(SimulatedDisk(state), monkeypatch).load()
            assert records[NAME] in ({VALUES[2]} if is_finished else {VALUES[0], VALUES[2]})


class CrashRun:
    """A chain of writes, kills, power losses and disk errors on one disk."""

    def __init__(self, monkeypatch, rng):
        self.monkeypatch, self.rng = monkeypatch, rng
        self.disk = SimulatedDisk()
        self.files = open_files(self.disk, monkeypatch)
        self.write_count = 0
        # The last content known to be durable, and the writes attempted since.
        self.durable, self.attempted = None, []

    def write(self):
        data = VALUES[self.write_count]
        self.write_count += 1
        self.attempted.append(data)
        self.files.write(NAME, data)
        self.durable, self.attempted = data, []

    def write_on_a_failing_disk(self):
        if self.rng.random() < 0.5:
            self.disk.is_full = True
        else:
            self.disk.failing_operations = {self.rng.choice(["sync", "remove", "open", "write"])}
        try:
            self.write()
        except DiskError:
            pass
        finally:
            self.disk.is_full, self.disk.failing_operations = False, set()

    def crash_during(self, action):
        """Kills the process or cuts the power in the middle of an action."""
        self.disk.power_loss_at = self.disk.operations + self.rng.randint(1, 40)
        with contextlib.suppress(PowerLost):
            action()
        if self.rng.random() < 0.5:
            self.disk = SimulatedDisk(self.disk.random_state(self.rng))
            self.disk.install(self.monkeypatch)
        self.disk.power_loss_at = None

    def load(self):
        files = RegisterFiles(FOLDER)
        data = files.load().get(NAME)
        assert data == self.durable or data in self.attempted
        self.files, self.durable, self.attempted = files, data, []
        assert len(pairs_on(self.disk)) == (data is not None)

    def run(self):
        actions = [self.write, self.write, self.write_on_a_failing_disk]
        for _ in range(6):
            for _ in range(self.rng.randint(0, 2)):
                self.rng.choice(actions)()
            self.crash_during(
                self.rng.choice([self.write, self.load, self.write_on_a_failing_disk])
            )
            if self.rng.random() < 0.5:
                self.crash_during(self.load)
            self.load()
        self.write()
        assert RegisterFiles(FOLDER).load() == {NAME: self.durable}
        assert len(pairs_on(self.disk)) == 1


def test_chains_of_crashes_and_disk_errors_never_bring_back_an_older_record(monkeypatch):
    for seed in range(1500):
        CrashRun(monkeypatch, random.Random(seed)).run()


def test_a_full_disk_keeps_the_record_and_no_incomplete_pairs(monkeypatch):
    disk = SimulatedDisk()
    files = open_files(disk, monkeypatch)
    files.write(NAME, VALUES[0])
    disk.is_full = True
    for _ in range(50):
        with pytest.raises(DiskError):
            files.write(NAME, VALUES[1])
        assert len(pairs_on(disk)) == 1
    assert RegisterFiles(FOLDER).load() == {NAME: VALUES[0]}
    disk.is_full = False
    files.write(NAME, VALUES[2])
    assert len(pairs_on(disk)) == 1 and RegisterFiles(FOLDER).load() == {NAME: VALUES[2]}


def test_a_pair_that_cannot_be_read_is_neither_skipped_nor_removed(monkeypatch):
    disk = SimulatedDisk()
    files = open_files(disk, monkeypatch)
    files.write(NAME, VALUES[0])
    disk.failing_operations = {"open"}
    with pytest.raises(DiskError):
        RegisterFiles(FOLDER).load()
    disk.failing_operations = set()
    assert RegisterFiles(FOLDER).load() == {NAME: VALUES[0]}


def test_a_record_that_the_disk_lost_clears_the_named_one_durably(monkeypatch):
    disk = SimulatedDisk()
    files = open_files(disk, monkeypatch)
    files.write("meta", b"votes")
    for data in VALUES[:3]:
        files.write(NAME, data)
    for name, inode in disk.names.items():
        if name.startswith(f"{FOLDER}/{NAME.encode().hex()}"):
            inode.data = inode.synced = bytes(len(inode.data))
    lost = {name: inode.data for name, inode in disk.names.items()}
    assert RegisterFiles(FOLDER, "meta").load() == {"meta": b""}
    # The same holds after a power loss during that load and another start.
    for crash_point in range(1, 60):
        disk = SimulatedDisk(lost)
        disk.install(monkeypatch)
        disk.power_loss_at = crash_point
        with contextlib.suppress(PowerLost):
            RegisterFiles(FOLDER, "meta").load()
        for state in set(disk.states_after_power_loss()):
            SimulatedDisk(state).install(monkeypatch)
            assert RegisterFiles(FOLDER, "meta").load() == {"meta": b""}
