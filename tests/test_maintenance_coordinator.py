"""Tests the maintenance coordinator under failures.

Two leaders, restarts, pauses and operators who change zones meanwhile.
"""

import asyncio
import contextlib
import types
from datetime import UTC, datetime, timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marblefold.errors import MeshError
from marblefold.maintenance.coordinator import MAINTENANCE_REGISTER, MaintenanceCoordinator
from marblefold.maintenance.model import MaintenanceDocument, Window, WindowState
from marblefold.maintenance.planning import LiveSlots, change_state
from marblefold.register_store.changes import (
    RegisterContent,
    evacuate_for_window,
    fence,
    leave_unchanged,
    release_from_window,
    replace_if_number,
    set_evacuation,
)

NIGHT_START = datetime(2026, 3, 1, 22, 0, tzinfo=UTC)
FLOOR = 20


class Registers:
    """Stores that apply the real register changes; they can be made unreachable."""

    def __init__(self):
        self.stored = {}
        self.is_reachable = True
        self.grants = []

    def find(self, register):
        return self.stored.get(register, RegisterContent(0, b""))

    def change(self, register, change):
        self.stored[register] = change(self.find(register))
        return self.stored[register]

    async def ask(self, kind, register, number=0, value=b""):
        if not self.is_reachable:
            raise MeshError(kind, "no majority")
        change = {
            "describe": leave_unchanged,
            MAINTENANCE_REGISTER: replace_if_number(number, value),
            "window-empty": fence(number, b"", evacuate_for_window),
            "window-release": fence(number, b"", release_from_window),
        }[kind]
        stored = self.change(register, change)
        return types.SimpleNamespace(number=stored.number, value=stored.value)


class SimulatedMesh:
    """The state of the mesh that both registries read; each may have an outdated document."""

    def __init__(self, registers):
        self.registers = registers
        self.time = NIGHT_START
        self.slots = {"a": 10, "b": 10, "c": 10}

    def is_maintenance_leader(self):
        return True

    def live_slots(self):
        return LiveSlots(
            {
                ("quotes", zone): count
                for zone, count in self.slots.items()
                if self.evacuation(zone) != b"on"
            }
        )

    def evacuation(self, zone):
        return self.registers.find("evacuation/" + zone).value

    def window_zones(self):
        return {zone for zone in self.slots if self.evacuation(zone) == b"window"}

    def now(self):
        return self.time


def run(coroutine):
    with contextlib.suppress(MeshError):
        asyncio.run(coroutine)


def window(name, zone, start=0, length=30, latest=90):
    return Window(
        name,
        zone,
        NIGHT_START + timedelta(minutes=start),
        timedelta(minutes=length),
        NIGHT_START + timedelta(minutes=latest),
    )


def make_coordinators(*windows):
    registers = Registers()
    mesh = SimulatedMesh(registers)
    document = MaintenanceDocument({"quotes": FLOOR}, {one.name: one for one in windows})
    registers.stored[MAINTENANCE_REGISTER] = RegisterContent(1, document.pack())
    coordinators = [MaintenanceCoordinator(registers, mesh) for _ in range(2)]
    for coordinator in coordinators:
        coordinator.apply_document(1, document.pack())
    return registers, mesh, coordinators


def stored_document(registers):
    return MaintenanceDocument.read(registers.find(MAINTENANCE_REGISTER).value)


def test_two_leaders_never_start_both_windows():
    registers, mesh, coordinators = make_coordinators(window("one", "a"), window("two", "b"))
    run(coordinators[0].step())
    # The second plans with the document from before the first one started its window.
    coordinators[1].number, coordinators[1].document = (
        1,
        MaintenanceDocument({"quotes": FLOOR}, {"two": window("two", "b")}),
    )
    run(coordinators[1].step())
    assert mesh.evacuation("a") == b"window" and mesh.evacuation("b") == b""
    assert stored_document(registers).windows["two"].state is not WindowState.RUNNING


def test_a_leader_that_stopped_after_a_start_is_followed_by_one_that_evacuates():
    registers, mesh, coordinators = make_coordinators(window("one", "a"))
    started_window = change_state(window("one", "a"), WindowState.RUNNING, start=NIGHT_START)
    registers.stored[MAINTENANCE_REGISTER] = RegisterContent(
        2, MaintenanceDocument({}, {"one": started_window}).pack()
    )
    coordinators[1].apply_document(2, registers.find(MAINTENANCE_REGISTER).value)
    run(coordinators[1].step())
    assert mesh.evacuation("a") == b"window"


def test_withdrawing_a_window_restores_its_zone_but_not_one_that_an_operator_evacuated():
    registers, mesh, coordinators = make_coordinators(window("one", "a"), window("two", "b", 40))
    run(coordinators[0].step())
    document = stored_document(registers)
    withdrawn = document.with_window(change_state(document.windows["one"], WindowState.WITHDRAWN))
    number = registers.find(MAINTENANCE_REGISTER).number
    registers.stored[MAINTENANCE_REGISTER] = RegisterContent(number + 1, withdrawn.pack())
    coordinators[0].apply_document(number + 1, withdrawn.pack())
    registers.change("evacuation/b", set_evacuation(b"on"))
    run(coordinators[0].step())
    assert mesh.evacuation("a") == b"off" and mesh.evacuation("b") == b"on"


def test_an_operator_who_restores_a_zone_ends_its_window():
    registers, mesh, coordinators = make_coordinators(window("one", "a"))
    run(coordinators[0].step())
    registers.change("evacuation/a", set_evacuation(b"off"))
    run(coordinators[0].step())
    run(coordinators[0].step())
    ended = stored_document(registers).windows["one"]
    assert ended.state is WindowState.FINISHED and "operator" in ended.reason
    assert mesh.evacuation("a") == b"off"


class MaintenanceMachine(RuleBasedStateMachine):
    """Overlapping windows with restarts, unreachable stores, lost capacity and operators."""

    def __init__(self):
        super().__init__()
        self.registers, self.mesh, self.coordinators = make_coordinators(
            window("one", "a", 0, 20),
            window("two", "b", 5, 20),
            window("three", "c", 10, 20),
            window("four", "a", 30, 10),
        )
        self.running = set()

    @rule(index=st.integers(0, 1), is_reachable=st.booleans())
    def step(self, index, is_reachable):
        before = stored_document(self.registers)
        self.registers.is_reachable = is_reachable
        run(self.coordinators[index].step())
        self.registers.is_reachable = True
        after = stored_document(self.registers)
        started = [
            name
            for name, one in after.windows.items()
            if one.state is WindowState.RUNNING
            and before.windows[name].state is not WindowState.RUNNING
        ]
        if started:
            evacuated_zones = {
                one.zone for one in after.windows.values() if one.state is WindowState.RUNNING
            }
            evacuated_zones |= {zone for zone in "abc" if self.mesh.evacuation(zone) == b"on"}
            remaining = sum(
                count for zone, count in self.mesh.slots.items() if zone not in evacuated_zones
            )
            assert remaining >= FLOOR

    @rule(index=st.integers(0, 1))
    def receive_document(self, index):
        stored = self.registers.find(MAINTENANCE_REGISTER)
        self.coordinators[index].apply_document(stored.number, stored.value)

    @rule(index=st.integers(0, 1))
    def restart(self, index):
        self.coordinators[index] = MaintenanceCoordinator(self.registers, self.mesh)
        self.receive_document(index)

    @rule(minutes=st.integers(1, 10))
    def wait(self, minutes):
        self.mesh.time += timedelta(minutes=minutes)

    @rule(zone=st.sampled_from("abc"), count=st.integers(0, 20))
    def set_capacity(self, zone, count):
        self.mesh.slots[zone] = count

    @rule(zone=st.sampled_from("abc"), value=st.sampled_from([b"on", b"off"]))
    def change_zone_as_operator(self, zone, value):
        self.registers.change("evacuation/" + zone, set_evacuation(value))

    @rule(zone=st.sampled_from("abc"))
    def apply_delayed_action_of_an_earlier_leader(self, zone):
        self.registers.change("evacuation/" + zone, evacuate_for_window)

    @invariant()
    def no_zone_is_evacuated_without_a_running_window(self):
        """After rounds on the newest document no unneeded zone stays evacuated."""
        fresh = MaintenanceCoordinator(self.registers, self.mesh)
        stored = self.registers.find(MAINTENANCE_REGISTER)
        saved = dict(self.registers.stored)
        fresh.apply_document(stored.number, stored.value)
        for _ in range(3):
            run(fresh.step())
        wanted = {
            one.zone
            for one in stored_document(self.registers).windows.values()
            if one.state is WindowState.RUNNING
        }
        for zone in "abc":
            if self.mesh.evacuation(zone) == b"window":
                assert zone in wanted
        self.registers.stored = saved


MaintenanceMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=25, deadline=None
)
TestMaintenanceMachine = MaintenanceMachine.TestCase
