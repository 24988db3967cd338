"""A rehearsed loss is compared with one that really happens, kind by kind."""

import json
import time

import pytest

from marblefold.rehearsal.forecast import rehearse
from marblefold.rehearsal.play_config import PlayConfig
from marblefold.rehearsal.playing import detection_seconds
from marblefold.rehearsal.snapshot import read_snapshot
from tests.region_document import EAST, make_document
from tests.simulated_clock import run_simulated
from tests.simulated_region import SimulatedMesh

# Rates are counted over most of the time before the loss: over a short while
# what clients do at random would be taken for what they always do.
WARM, AFTER = 18.0, 8.0
# What a forecast may be off by: a share of the figure, and three standard
# deviations of a count of what really happened, for its clients come at random.
SHARE, DEVIATIONS, FLOOR = 0.12, 3.0, 1.0
ZONE_SHARE = 0.15
DOUBLES_SHARE = 0.35
# One loss is one sample: where answers come from hangs for seconds on which
# targets the callers found fast just before, and differs by 0.06 of the share
# (standard deviation) from one loss to the next. A forecast is of their mean.
LOSSES = 4
PLAYS = 8


def darken(monkeypatch, document, lost, rate, clients_move=False):
    """What really happens, several times; the document then holds the traffic counted."""

    async def make(seed):
        mesh = SimulatedMesh(document, rate, seed, clients_move)
        mesh.loss_at = await mesh.run(lost, WARM, AFTER)
        return mesh

    return [run_simulated(monkeypatch, lambda seed=seed: make(seed)) for seed in range(LOSSES)]


def forecast_of(document, lost, clients_move=False):
    snapshot = read_snapshot(json.dumps(document).encode())
    return rehearse(
        snapshot,
        lost,
        PlayConfig(warm_seconds=4.0, after_seconds=AFTER, plays=PLAYS, clients_move=clients_move),
    )


def find_misses(forecast, meshes):
    """Every figure of the forecast that is not within the stated tolerance."""
    settled = detection_seconds(len(meshes[0].nodes))
    known_until = AFTER - 1.5
    # By route, with the time as seen from the loss.
    endings = [
        (ending, ending.arrived - mesh.loss_at) for mesh in meshes for ending in mesh.endings
    ]
    spans = ((WARM * 2 / 3 - 0.5) * len(meshes), (known_until - settled) * len(meshes))
    misses = []

    def compare(what, told, found, share, scatter):
        if abs(told - found) > share * max(told, found) + scatter:
            misses.append(f"{what}: forecast {told:.2f}, happened {found:.2f}")

    def scatter(*counts_and_spans):
        return FLOOR + DEVIATIONS * sum(count / span**2 for count, span in counts_and_spans) ** 0.5

    for kind in forecast.kinds:
        ended = [(e, at) for e, at in endings if e.route == kind.route]
        before = [e for e, at in ended if -WARM * 2 / 3 <= at < -0.5]
        after = [e for e, at in ended if settled <= at < known_until]
        name = kind.route
        compare(
            f"{name} before",
            kind.before,
            len(before) / spans[0],
            SHARE,
            scatter((len(before), spans[0])),
        )
        gone = len(before) / spans[0] - len(after) / spans[1]
        compare(
            f"{name} gone",
            kind.gone_with_clients,
            max(0.0, gone),
            SHARE,
            scatter((len(before), spans[0]), (len(after), spans[1])),
        )
        is_read = kind.kind == "read_only"
        stalled = sum(
            1 for e in after if e.status in (429, 503) or (is_read and e.status in (502, 504))
        )
        compare(
            f"{name} stalls",
            kind.stalls_after,
            stalled / spans[1],
            SHARE,
            scatter((stalled, spans[1])),
        )
        carried = [e for e in after if e.status == 200]
        total = sum(kind.zones_after.values())
        for zone in set(kind.zones_after) | {e.zone for e in carried}:
            if len(carried) > 20 and total:
                share = sum(1 for e in carried if e.zone == zone) / len(carried)
                told = kind.zones_after.get(zone, 0.0) / total
                compare(f"{name} share of {zone}", told, share, 0.0, ZONE_SHARE)
        doubles = (
            0
            if is_read
            else sum(1 for e, at in ended if e.was_dark and e.status in (0, 502, 504) and at > -5)
        )
        compare(
            f"{name} may go twice",
            kind.may_go_twice,
            doubles / len(meshes),
            DOUBLES_SHARE,
            scatter((doubles, len(meshes))),
        )
    return misses


SCENES = {
    "room enough": ({}, EAST, 60.0),
    "full capacity": ({"slots": 2, "per_zone": 3}, EAST, 110.0),
    "homes": ({"homes": {"book": ["east"]}}, EAST, 60.0),
    "cold targets": ({"cold": True}, EAST, 60.0),
    "owner there": ({"owner": "a1:1"}, EAST, 60.0),
    "a second loss": ({"gone": ("c1",)}, frozenset(("b1", "b2")), 50.0),
    "one zone": ({}, frozenset(("c1",)), 60.0),
}


@pytest.mark.parametrize("scene", SCENES)
def test_what_was_forecast_is_what_happens(monkeypatch, scene):
    more, lost, rate = SCENES[scene]
    document = make_document(**more)
    meshes = darken(monkeypatch, document, lost, rate)
    assert find_misses(forecast_of(document, lost), meshes) == []


def test_clients_that_come_in_elsewhere_are_forecast_there(monkeypatch):
    document = make_document(slots=3)
    meshes = darken(monkeypatch, document, EAST, 80.0, clients_move=True)
    assert find_misses(forecast_of(document, EAST, clients_move=True), meshes) == []
    # Whoever thinks that they are lost with their place forecasts too little.
    assert any("gone" in miss for miss in find_misses(forecast_of(document, EAST), meshes))


def ignore_capacity(document):
    for row in document["state"]["targets"]:
        row["capacity-slots"] = 1000


def ignore_homes(document):
    for row in document["configuration"]["route-list"]:
        row.pop("allowed-regions", None)


def ignore_sizes(document):
    # What moves little leaves its zone readily, and so is under way where it goes dark.
    for row in document["traffic"]:
        row["kilobytes"] = 40.0


@pytest.mark.parametrize(
    "scene, ignore, miss",
    (
        ("full capacity", ignore_capacity, "stalls"),
        ("homes", ignore_homes, "book stalls"),
        ("room enough", ignore_sizes, "book may go twice"),
    ),
)
def test_the_comparison_fails_for_a_forecast_that_ignores(monkeypatch, scene, ignore, miss):
    more, lost, rate = SCENES[scene]
    document = make_document(**more)
    meshes = darken(monkeypatch, document, lost, rate)
    ignore(document)
    assert any(miss in found for found in find_misses(forecast_of(document, lost), meshes))


def test_a_simulated_mesh_learns_by_its_own_clock_only(monkeypatch):
    # A machine up for longer than the simulated clock shows: what was learned by
    # the machine's clock would lie in the future of whoever selects.
    machine_clock = time.monotonic
    monkeypatch.setattr(time, "monotonic", lambda: machine_clock() + 1e6)

    async def make():
        mesh = SimulatedMesh(make_document(), 60.0)
        await mesh.run(EAST, 3.0, 2.0)
        records = [
            record
            for node in mesh.nodes.values()
            for record in node.routing_state.selector._records.values()
        ]
        return records, time.monotonic()

    records, now = run_simulated(monkeypatch, make)
    learned = [record._latency_at for record in records if record._latency]
    assert len(learned) > 50 and now - 10.0 < min(learned) and max(learned) <= now
