"""The duty under failures: two holders, restarts, sleeps, operators in between."""

import asyncio
import contextlib
import types
from datetime import UTC, datetime, timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marblefold.errors import MeshError
from marblefold.maintenance.duty import REGISTER, MaintenanceDuty
from marblefold.maintenance.model import Document, Window, WindowState
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

NIGHT = datetime(2026, 3, 1, 22, 0, tzinfo=UTC)
FLOOR = 20


class Registers:
    """Stores that hold words as the real changes say; they may be out of reach."""

    def __init__(self):
        self.held = {}
        self.is_reachable = True
        self.grants = []

    def find(self, register):
        return self.held.get(register, RegisterContent(0, b""))

    def change(self, register, change):
        self.held[register] = change(self.find(register))
        return self.held[register]

    async def ask(self, kind, register, number=0, value=b""):
        if not self.is_reachable:
            raise MeshError(kind, "no majority")
        change = {
            "describe": leave_unchanged,
            REGISTER: replace_if_number(number, value),
            "window-empty": fence(number, b"", evacuate_for_window),
            "window-release": fence(number, b"", release_from_window),
        }[kind]
        held = self.change(register, change)
        return types.SimpleNamespace(number=held.number, value=held.value)


class World:
    """What both registries see; each may hold an old document."""

    def __init__(self, registers):
        self.registers = registers
        self.moment = NIGHT
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
        return self.moment


def run(coroutine):
    with contextlib.suppress(MeshError):
        asyncio.run(coroutine)


def window(name, zone, start=0, length=30, latest=90):
    return Window(
        name,
        zone,
        NIGHT + timedelta(minutes=start),
        timedelta(minutes=length),
        NIGHT + timedelta(minutes=latest),
    )


def make(*windows):
    registers = Registers()
    world = World(registers)
    document = Document({"quotes": FLOOR}, {one.name: one for one in windows})
    registers.held[REGISTER] = RegisterContent(1, document.pack())
    duties = [MaintenanceDuty(registers, world) for _ in range(2)]
    for duty in duties:
        duty.take(1, document.pack())
    return registers, world, duties


def held_document(registers):
    return Document.read(registers.find(REGISTER).value)


def test_two_holders_never_grant_both_windows():
    registers, world, duties = make(window("one", "a"), window("two", "b"))
    run(duties[0].step())
    # The second still plans on the document from before the first one's grant.
    duties[1].number, duties[1].document = (
        1,
        Document({"quotes": FLOOR}, {"two": window("two", "b")}),
    )
    run(duties[1].step())
    assert world.evacuation("a") == b"window" and world.evacuation("b") == b""
    assert held_document(registers).windows["two"].state is not WindowState.RUNNING


def test_a_holder_that_died_after_the_grant_is_followed_by_one_that_empties():
    registers, world, duties = make(window("one", "a"))
    granted = change_state(window("one", "a"), WindowState.RUNNING, start=NIGHT)
    registers.held[REGISTER] = RegisterContent(2, Document({}, {"one": granted}).pack())
    duties[1].take(2, registers.find(REGISTER).value)
    run(duties[1].step())
    assert world.evacuation("a") == b"window"


def test_a_withdrawn_window_gives_its_zone_back_but_not_an_operators():
    registers, world, duties = make(window("one", "a"), window("two", "b", 40))
    run(duties[0].step())
    document = held_document(registers)
    withdrawn = document.with_window(change_state(document.windows["one"], WindowState.WITHDRAWN))
    number = registers.find(REGISTER).number
    registers.held[REGISTER] = RegisterContent(number + 1, withdrawn.pack())
    duties[0].take(number + 1, withdrawn.pack())
    registers.change("evacuation/b", set_evacuation(b"on"))
    run(duties[0].step())
    assert world.evacuation("a") == b"off" and world.evacuation("b") == b"on"


def test_an_operator_who_takes_a_zone_back_ends_its_window():
    registers, world, duties = make(window("one", "a"))
    run(duties[0].step())
    registers.change("evacuation/a", set_evacuation(b"off"))
    run(duties[0].step())
    run(duties[0].step())
    ended = held_document(registers).windows["one"]
    assert ended.state is WindowState.FINISHED and "operator" in ended.reason
    assert world.evacuation("a") == b"off"


class NightOfWork(RuleBasedStateMachine):
    """Overlapping windows with kills, cuts, losses, withdrawals and operators."""

    def __init__(self):
        super().__init__()
        self.registers, self.world, self.duties = make(
            window("one", "a", 0, 20),
            window("two", "b", 5, 20),
            window("three", "c", 10, 20),
            window("four", "a", 30, 10),
        )
        self.running = set()

    @rule(index=st.integers(0, 1), is_reachable=st.booleans())
    def step(self, index, is_reachable):
        before = held_document(self.registers)
        self.registers.is_reachable = is_reachable
        run(self.duties[index].step())
        self.registers.is_reachable = True
        after = held_document(self.registers)
        started = [
            name
            for name, one in after.windows.items()
            if one.state is WindowState.RUNNING
            and before.windows[name].state is not WindowState.RUNNING
        ]
        if started:
            emptied = {
                one.zone for one in after.windows.values() if one.state is WindowState.RUNNING
            }
            emptied |= {zone for zone in "abc" if self.world.evacuation(zone) == b"on"}
            left = sum(count for zone, count in self.world.slots.items() if zone not in emptied)
            assert left >= FLOOR

    @rule(index=st.integers(0, 1))
    def hear(self, index):
        held = self.registers.find(REGISTER)
        self.duties[index].take(held.number, held.value)

    @rule(index=st.integers(0, 1))
    def restart(self, index):
        self.duties[index] = MaintenanceDuty(self.registers, self.world)
        self.hear(index)

    @rule(minutes=st.integers(1, 10))
    def wait(self, minutes):
        self.world.moment += timedelta(minutes=minutes)

    @rule(zone=st.sampled_from("abc"), count=st.integers(0, 20))
    def lose_or_gain(self, zone, count):
        self.world.slots[zone] = count

    @rule(zone=st.sampled_from("abc"), value=st.sampled_from([b"on", b"off"]))
    def operator(self, zone, value):
        self.registers.change("evacuation/" + zone, set_evacuation(value))

    @rule(zone=st.sampled_from("abc"))
    def late_act_of_an_older_holder(self, zone):
        self.registers.change("evacuation/" + zone, evacuate_for_window)

    @invariant()
    def no_zone_is_emptied_for_nobody(self):
        """Once the newest document is heard and acted on, nothing is left over."""
        fresh = MaintenanceDuty(self.registers, self.world)
        held = self.registers.find(REGISTER)
        saved = dict(self.registers.held)
        fresh.take(held.number, held.value)
        for _ in range(3):
            run(fresh.step())
        wanted = {
            one.zone
            for one in held_document(self.registers).windows.values()
            if one.state is WindowState.RUNNING
        }
        for zone in "abc":
            if self.world.evacuation(zone) == b"window":
                assert zone in wanted
        self.registers.held = saved


NightOfWork.TestCase.settings = settings(max_examples=40, stateful_step_count=25, deadline=None)
TestNightOfWork = NightOfWork.TestCase
