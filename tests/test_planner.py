"""Tests the planner: the changes and harm that it reports, and its handling of bad input."""

import json
import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marblefold.planner.comparison import compare
from marblefold.planner.mesh_state import MeshState, read_configuration_rows
from marblefold.planner.proposal import Proposal, propose
from marblefold.request_path.mesh_view import KnownTarget


def make_configuration(number=1, **routes):
    """Returns a configuration; `routes` gives the weights by upstream for each route name."""
    return json.dumps(
        {
            "config-version": number,
            "route-list": [
                {
                    "name": name,
                    "host-name": "h",
                    "path-prefix": f"/{name}/",
                    "route-type": "read_only",
                    "timeout-ms": 1000,
                    "target-latency-ms": 100,
                    "max-attempts": 2,
                    "weighted-targets": [
                        {"upstream": upstream, "weight": weight}
                        for upstream, weight in weights.items()
                    ],
                }
                for name, weights in routes.items()
            ],
            "service-list": [{"name": "a"}, {"name": "b"}],
            "limits": {},
        }
    ).encode()


def make_target(instance, upstream="a", zone="x", slots=10, draining=False, cold=0.0):
    return KnownTarget(instance, "", zone, "here", instance, upstream, slots, draining, cold, False)


TARGETS = (
    make_target("a1"),
    make_target("a2", zone="y"),
    make_target("b1", "b", "y", 5),
    make_target("a3", cold=1.0),
    make_target("a4", draining=True),
)


def make_mesh_state(targets=TARGETS, **routes):
    return MeshState(
        read_configuration_rows(make_configuration(1, **(routes or {"m": {"a": 1.0}}))),
        targets,
        frozenset(),
        ("s1", "s2", "s3"),
    )


def test_changed_routes_and_shares_are_shown():
    before = make_mesh_state(m={"a": 1}, gone={"a": 1})
    rows = read_configuration_rows(make_configuration(2, m={"a": 1, "b": 3}, new={"b": 1}))
    differences = compare(before, propose(before, Proposal(rows)), {}, {"m": 30.0, "new": 10.0})
    assert (differences.added, differences.removed) == (("new",), ("gone",))
    assert {change.field for change in differences.changed} == {"upstreams", "weights"}
    shares = {share.name: (share.before, share.after) for share in differences.upstreams}
    assert shares["a"][0] == 1.0 and abs(shares["b"][1] - (0.75 * 30 + 10) / 40) < 1e-9
    assert differences.faults == ()


def test_a_drain_that_goes_below_the_floor_is_harmful():
    before = make_mesh_state()
    harmless = compare(before, propose(before, Proposal(drains=("a1",))), {"a": 10}, {})
    assert harmless.faults == ()
    # Cold and draining targets do not count.
    assert [row.before for row in harmless.capacity] == [20, 5]
    harmful = compare(before, propose(before, Proposal(drains=("a1",))), {"a": 11}, {})
    assert harmful.faults == ("a: 10 slots left, the floor is 11",)


def test_an_evacuation_that_leaves_a_route_without_targets_is_harmful():
    before = make_mesh_state(m={"b": 1})
    differences = compare(before, propose(before, Proposal(evacuations=("y",))), {}, {})
    assert "route m: no target of b is left" in differences.faults
    assert [share for share in differences.zones if share.name == "(nowhere)"][0].after == 1.0


@pytest.mark.parametrize(
    "proposal, error",
    [
        (Proposal(drains=("zz",)), "no target 'zz'"),
        (Proposal(evacuations=("zz",)), "zone 'zz'"),
        (Proposal(replacements=("s9=s4",)), "no member"),
        (Proposal(replacements=("s1=s2",)), "member already"),
        (Proposal(replacements=("s1",)), "OLD=NEW"),
        (Proposal(rows=read_configuration_rows(make_configuration(1, m={"a": 1}))), "not above"),
    ],
)
def test_an_impossible_proposal_is_refused_with_the_reason(proposal, error):
    with pytest.raises(ExceptionGroup) as caught:
        propose(make_mesh_state(), proposal)
    assert error in str(caught.value.exceptions[0])


@given(
    targets=st.lists(
        st.tuples(
            st.sampled_from("ab"),
            st.sampled_from("xyz"),
            st.integers(1, 9),
            st.booleans(),
            st.booleans(),
        ),
        max_size=8,
    ),
    evacuated=st.sets(st.sampled_from("xyz")),
    drained=st.sets(st.integers(0, 7)),
    floor=st.integers(0, 40),
)
def test_capacity_agrees_with_a_plain_count(targets, evacuated, drained, floor):
    known = tuple(
        make_target(f"t{index}", upstream, zone, slots, draining, float(cold))
        for index, (upstream, zone, slots, draining, cold) in enumerate(targets)
    )
    before = make_mesh_state(known)
    drains = tuple(f"t{index}" for index in drained if index < len(known))
    zones = tuple(zone for zone in evacuated if any(target.zone == zone for target in known))
    differences = compare(before, propose(before, Proposal(None, drains, zones)), {"a": floor}, {})
    remaining = 0
    for index, (upstream, zone, slots, draining, cold) in enumerate(targets):
        if upstream == "a" and zone not in evacuated and f"t{index}" not in drains:
            remaining += 0 if draining or cold else slots
    assert {row.upstream: row.after for row in differences.capacity}["a"] == remaining
    assert any("floor" in fault for fault in differences.faults) == (remaining < floor)


def run_plan(folder, *arguments, **files):
    for name, data in files.items():
        (folder / name).write_bytes(data)
    return subprocess.run(
        [sys.executable, "-m", "marblefold", "plan", *arguments],
        capture_output=True,
        text=True,
        cwd=".",
    )


STATE = json.dumps(
    {
        "targets": [
            {"instance": "a1", "upstream": "a", "zone": "x", "capacity-slots": 10, "state": "ready"}
        ],
        "members": ["s1"],
    }
).encode()


def test_the_exit_status_of_the_command_gives_the_result(tmp_path):
    files = {
        "now": make_configuration(1, m={"a": 1}),
        "then": make_configuration(2, m={"a": 1}, n={"a": 1}),
        "state": STATE,
        "floors": b'{"a": 10}',
        "bad": make_configuration(3, m={"zz": 1}),
    }
    base = [f"--current={tmp_path}/now", f"--state={tmp_path}/state"]
    harmless = run_plan(tmp_path, *base, f"--proposed={tmp_path}/then", **files)
    assert harmless.returncode == 0 and "route n: added" in harmless.stdout
    harmful = run_plan(tmp_path, *base, "--drain=a1", f"--floors={tmp_path}/floors", "--json")
    assert harmful.returncode == 1 and json.loads(harmful.stdout)["harmful"]
    invalid = run_plan(tmp_path, *base, f"--proposed={tmp_path}/bad")
    assert invalid.returncode == 1 and "zz" in invalid.stderr
    for arguments in (
        ["--drain=a1"],
        [*base, "--no_such_flag"],
        [f"--current={tmp_path}/none"],
        [*base[:1], f"--state={tmp_path}/floors", f"--floors={tmp_path}/now"],
        ["--from_system=127.0.0.1:9"],
    ):
        wrong = run_plan(tmp_path, *arguments)
        assert wrong.returncode == 2, wrong
        assert "Traceback" not in wrong.stderr + wrong.stdout
