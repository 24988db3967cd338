"""Records on disk through losses of power, kills, full and failing disks.

Every unsynced create, rename and removal is kept or lost by itself, with the
bytes of unsynced files missing, cut short, zero or whole.
"""

import contextlib
import gc
import random

import pytest

from marblefold.errors import DiskError
from marblefold.register_store.register_files import RegisterFiles
from tests.simulated_disk import FOLDER, PowerLost, SimulatedDisk

NAME = "register/configuration"
# As long as each other, so that the parts of two pairs would fit together.
VALUES = [b"%03d" % number * 40 for number in range(400)]


@pytest.fixture(autouse=True)
def no_files_of_earlier_tests():
    """A file that another test left open is written when it is collected.

    It would be written to the disk that is simulated by then.
    """
    gc.collect()


def opened(disk, monkeypatch):
    disk.install(monkeypatch)
    return RegisterFiles(FOLDER)


def pairs_on(disk):
    return {name.rpartition(".")[0] for name in disk.names}


def crash_states(monkeypatch, written):
    """After whole writes, every state that a crash in the last one may leave."""
    point = 0
    while True:
        point += 1
        disk = SimulatedDisk()
        files = opened(disk, monkeypatch)
        for data in VALUES[:written]:
            files.write(NAME, data)
        disk.power_ends_at = disk.operations + point
        try:
            files.write(NAME, VALUES[written])
            is_finished = True
        except PowerLost:
            is_finished = False
        # What the ended process left open ends with it, on its own disk.
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
            records = opened(disk, monkeypatch).load()
            assert records.get(NAME) in allowed, sorted(name for name, _data in state)
            assert len(pairs_on(disk)) == 1
        seen |= states
    assert len(seen) > 300


def test_the_parts_of_two_writes_under_one_number_never_make_a_pair(monkeypatch):
    disk = SimulatedDisk()
    files = opened(disk, monkeypatch)
    files.write(NAME, VALUES[0])
    found = {name: inode.data for name, inode in disk.names.items()}
    files.write(NAME, VALUES[1])
    # The second write came as far as its data: a start removes it, and uses its number.
    found |= {name: inode.data for name, inode in disk.names.items() if name.endswith(".2.dat")}
    point, is_finished = 0, False
    while not is_finished:
        point += 1
        disk = SimulatedDisk(found)
        files = opened(disk, monkeypatch)
        assert files.load() == {NAME: VALUES[0]}
        disk.power_ends_at = disk.operations + point
        with contextlib.suppress(PowerLost):
            files.write(NAME, VALUES[2])
            is_finished = True
        for state in set(disk.states_after_power_loss()):
            records = opened(SimulatedDisk(state), monkeypatch).load()
            assert records[NAME] in ({VALUES[2]} if is_finished else {VALUES[0], VALUES[2]})


class Life:
    """One disk through a chain of writes, kills, losses of power and full times."""

    def __init__(self, monkeypatch, chance):
        self.monkeypatch, self.chance = monkeypatch, chance
        self.disk = SimulatedDisk()
        self.files = opened(self.disk, monkeypatch)
        self.attempt = 0
        # What must last at least, and what was tried since.
        self.floor, self.tried = None, []

    def write(self):
        data = VALUES[self.attempt]
        self.attempt += 1
        self.tried.append(data)
        self.files.write(NAME, data)
        self.floor, self.tried = data, []

    def write_on_a_disk_in_trouble(self):
        if self.chance.random() < 0.5:
            self.disk.is_full = True
        else:
            self.disk.failing = {self.chance.choice(["sync", "remove", "open", "write"])}
        try:
            self.write()
        except DiskError:
            pass
        finally:
            self.disk.is_full, self.disk.failing = False, set()

    def end(self, act):
        """The process ends by a kill, or the power goes, in the midst of an act."""
        self.disk.power_ends_at = self.disk.operations + self.chance.randint(1, 40)
        with contextlib.suppress(PowerLost):
            act()
        if self.chance.random() < 0.5:
            self.disk = SimulatedDisk(self.disk.random_state(self.chance))
            self.disk.install(self.monkeypatch)
        self.disk.power_ends_at = None

    def load(self):
        files = RegisterFiles(FOLDER)
        data = files.load().get(NAME)
        assert data == self.floor or data in self.tried
        self.files, self.floor, self.tried = files, data, []
        assert len(pairs_on(self.disk)) == (data is not None)

    def run(self):
        acts = [self.write, self.write, self.write_on_a_disk_in_trouble]
        for _ in range(6):
            for _ in range(self.chance.randint(0, 2)):
                self.chance.choice(acts)()
            self.end(self.chance.choice([self.write, self.load, self.write_on_a_disk_in_trouble]))
            if self.chance.random() < 0.5:
                self.end(self.load)
            self.load()
        self.write()
        assert RegisterFiles(FOLDER).load() == {NAME: self.floor}
        assert len(pairs_on(self.disk)) == 1


def test_chains_of_crashes_and_trouble_never_bring_back_an_older_record(monkeypatch):
    for seed in range(1500):
        Life(monkeypatch, random.Random(seed)).run()


def test_a_full_disk_keeps_the_record_and_no_scraps(monkeypatch):
    disk = SimulatedDisk()
    files = opened(disk, monkeypatch)
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


def test_a_pair_that_cannot_be_read_is_neither_passed_over_nor_removed(monkeypatch):
    disk = SimulatedDisk()
    files = opened(disk, monkeypatch)
    files.write(NAME, VALUES[0])
    disk.failing = {"open"}
    with pytest.raises(DiskError):
        RegisterFiles(FOLDER).load()
    disk.failing = set()
    assert RegisterFiles(FOLDER).load() == {NAME: VALUES[0]}


def test_a_record_that_the_disk_lost_voids_the_named_one_for_good(monkeypatch):
    disk = SimulatedDisk()
    files = opened(disk, monkeypatch)
    files.write("meta", b"votes")
    for data in VALUES[:3]:
        files.write(NAME, data)
    for name, inode in disk.names.items():
        if name.startswith(f"{FOLDER}/{NAME.encode().hex()}"):
            inode.data = inode.synced = bytes(len(inode.data))
    lost = {name: inode.data for name, inode in disk.names.items()}
    assert RegisterFiles(FOLDER, "meta").load() == {"meta": b""}
    # Also after a loss of power in the midst of finding it, and a start after it.
    for point in range(1, 60):
        disk = SimulatedDisk(lost)
        disk.install(monkeypatch)
        disk.power_ends_at = point
        with contextlib.suppress(PowerLost):
            RegisterFiles(FOLDER, "meta").load()
        for state in set(disk.states_after_power_loss()):
            SimulatedDisk(state).install(monkeypatch)
            assert RegisterFiles(FOLDER, "meta").load() == {"meta": b""}
