"""Tests of tools/bench_days: days parse and hold their kinds, and outcomes are read correctly."""

import json
from pathlib import Path

import pytest

from tools.bench_days.days import DAYS_FOLDER, read_day, read_days, write_day_without_kinds
from tools.bench_days.outcome import (
    find_journal_entry,
    find_unavailable_kind,
    make_failed_outcome,
    read_outcome,
)

# The kinds that each day of the five sets must hold; a set is all days with this name prefix.
KINDS_BY_DAY_SET = {
    "control-cut": {"core_cut", "config_race", "evacuate"},
    "races-with-lost-acks": {"config_race", "ack_lost", "node_freeze"},
    "replace-then-loss": {"replace_core", "after_ack_wipe", "herd_kill"},
    "hundreds-of-changes": {"config_storm", "herd_kill"},
    "wrong-caller": {"reset_conns", "garble", "answer_lost", "node_freeze", "roll_term"},
}
# Every kind that the known sites list, including those they list under "may come too".
KINDS = frozenset(
    [
        "ack_lost",
        "add_nodes",
        "after_ack_kill",
        "after_ack_wipe",
        "answer_lost",
        "bad_config",
        "burst",
        "clock_step",
        "cold_return",
        "config_change",
        "config_race",
        "config_storm",
        "core_cut",
        "disk_full",
        "disk_slow",
        "disk_stall",
        "evacuate",
        "garble",
        "give_up",
        "herd_kill",
        "hup",
        "idle_race",
        "lossy",
        "node_cut",
        "node_freeze",
        "node_kill",
        "node_slow",
        "release",
        "replace_core",
        "replace_with_reuse",
        "reset_conns",
        "retry_abuse",
        "roll_term",
        "scale_in",
        "scale_out",
        "seed_turnover",
        "srv_crash",
        "srv_flap",
        "srv_grey",
        "srv_lying_health",
        "srv_slow",
        "zone_cut",
        "zone_loss",
    ]
)

DAY = """
[[day]]
name = "{name}"
plan = [{{ at = 9.0, kind = "config_race", count = 2 }}, {{ at = 2.0, kind = "config_race" }}]
faults = [{{ at = 4.0, kind = "core_cut", how = "leader race" }}]
closing = {{ kind = "kill_all", down_s = 1.0 }}
"""


def _day(tmp_path: Path, text: str, name: str = "sample"):
    path = tmp_path / f"{name}.toml"
    path.write_text(text)
    return read_day(path)


def _days_of_set(day_set: str):
    return [
        day for day in read_days([]) if day.name == day_set or day.name.startswith(f"{day_set}-")
    ]


def test_every_file_is_a_day_and_every_day_has_its_own_name():
    days = read_days([])
    assert len(days) == len(list(DAYS_FOLDER.iterdir()))
    assert len({day.name for day in days}) == len(days)


@pytest.mark.parametrize("day_set", KINDS_BY_DAY_SET)
def test_each_day_of_a_set_holds_its_kinds(day_set):
    days = _days_of_set(day_set)
    assert days
    for day in days:
        assert KINDS_BY_DAY_SET[day_set] <= day.kinds, day.name


def test_the_core_is_cut_for_twenty_seconds_in_each_variant():
    hows = set()
    for day in _days_of_set("control-cut"):
        text = day.path.read_text()
        assert "for_s = 20.0" in text
        (cut,) = [entry for entry in day.entries if entry.kind == "core_cut"]
        hows |= set(cut.how.split())
    assert {"leader", "race", "hard", "one_way"} <= hows


def test_replacements_come_twice_planned_and_unplanned():
    variants = {
        day.name: [entry.how for entry in day.entries if entry.kind == "replace_core"]
        for day in _days_of_set("replace-then-loss")
    }
    assert all(len(hows) == 2 for hows in variants.values())
    assert any(all("planned" in how for how in hows) for hows in variants.values())
    assert any(all("planned" not in how for how in hows) for hows in variants.values())


def test_a_couple_of_hundred_changes_end_with_a_wipe():
    (day,) = _days_of_set("hundreds-of-changes")
    assert day.closing_kind == "wipe_after_ack"
    assert "count = 220" in day.path.read_text()


def test_all_days_together_hold_every_kind():
    assert frozenset().union(*(day.kinds for day in _days_of_set("kinds"))) == KINDS


def test_no_day_names_a_zone_region_or_service():
    for day in read_days([]):
        for word in ("zone =", "to_zone", "region", "service =", "class ="):
            assert word not in day.path.read_text(), day.name


def test_entries_are_read_in_order_of_time(tmp_path):
    day = _day(tmp_path, DAY.format(name="sample"))
    assert [(entry.at, entry.kind, entry.how, entry.planned) for entry in day.entries] == [
        (2.0, "config_race", "", True),
        (4.0, "core_cut", "leader race", False),
        (9.0, "config_race", "", True),
    ]
    assert day.closing_kind == "kill_all"


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[[day]]\nname = 'sample'\n",
        DAY.format(name="other"),
        DAY.format(name="sample") * 2,
        "[[day]]\nname = 'sample'\nplan = [{ kind = 'hup' }]\n",
    ],
)
def test_invalid_days_are_rejected(tmp_path, text):
    with pytest.raises(ValueError):
        _day(tmp_path, text)


def test_files_hold_one_entry_per_line_so_that_kinds_can_be_left_out(tmp_path):
    for day in read_days([]):
        lines = day.path.read_text().splitlines()
        assert sum("kind = " in line and "closing" not in line for line in lines) == len(
            day.entries
        )
    (day,) = _days_of_set("hundreds-of-changes")
    assert write_day_without_kinds(day, [], tmp_path) == day.path
    path = write_day_without_kinds(day, ["evacuate", "herd_kill"], tmp_path)
    assert path is not None and read_day(path).kinds == day.kinds - {"evacuate", "herd_kill"}
    assert read_day(path).closing_kind == day.closing_kind
    assert write_day_without_kinds(day, day.kinds, tmp_path) is None


def test_the_rejected_kind_is_the_one_without_a_contract():
    refusal = (
        "built in 2.1 s; 9 lines in 2 files\nfleetbench: evacuate: contract places is not open\n"
    )
    assert find_unavailable_kind(refusal) == "evacuate"
    assert find_unavailable_kind("fleetbench: name a site file\n") is None


def test_a_kind_that_was_left_out_is_not_reported_as_not_played(tmp_path):
    day = _day(tmp_path, DAY.format(name="sample"))
    outcome = read_outcome(
        day, 7, _journal_entry(), _report("core_cut (leader race)"), ("config_race",)
    )
    assert outcome.not_played == ()
    assert "no contract for config_race" in outcome.summary()


def test_the_journal_entry_is_the_one_that_the_output_names(tmp_path):
    (tmp_path / "20260101T000000-aaaa1111.json").write_text("{}")
    (tmp_path / "20260101T000001-bbbb2222.json").write_text("{}")
    found = find_journal_entry("to play it took 2 s\nsnapshot bbbb2222\n", tmp_path)
    assert found is not None and found.name.endswith("bbbb2222.json")
    assert find_journal_entry("snapshot cccc3333\n", tmp_path) is None
    assert find_journal_entry("no such line", tmp_path) is None


def _journal_entry(**changes) -> dict:
    found = {"G": 0.71, "rules": {}, "gate": True, "short": [], "fault": None} | changes
    return {"id": "bbbb2222", "site": "somewhere", "ok": True, "error": None, "days": [found]}


def _report(*kinds: str) -> dict:
    return {"events": [{"at_s": 1.5, "kind": kind} for kind in kinds]}


def test_a_clean_run_is_read_with_what_was_not_played(tmp_path):
    day = _day(tmp_path, DAY.format(name="sample"))
    report = {
        "events": [
            {"at_s": 2.0, "kind": "config_race"},
            {"at_s": 4.0, "kind": "core_cut (leader race)"},
        ]
    }
    outcome = read_outcome(day, 7, _journal_entry(), report)
    assert outcome.is_clean and outcome.gate and outcome.worth == 0.71
    assert outcome.events == ("2 config_race", "4 core_cut (leader race)")
    # One event matches one entry: the second race was not played.
    assert [entry.at for entry in outcome.not_played] == [9.0]
    assert (
        "worth 0.710; gate passed; no rule broken; not played: config_race at 9"
        in outcome.summary()
    )
    assert outcome.summary().startswith("somewhere sample seed 7:")


def test_an_event_of_another_variant_does_not_match_an_entry(tmp_path):
    day = _day(tmp_path, DAY.format(name="sample"))
    report = _report("config_race", "config_race", "core_cut (near)")
    outcome = read_outcome(day, 7, _journal_entry(), report)
    assert [entry.kind for entry in outcome.not_played] == ["core_cut"]


def test_an_event_without_a_variant_matches_any_entry_of_the_kind(tmp_path):
    day = _day(tmp_path, DAY.format(name="sample"))
    report = _report("core_cut", "config_race", "config_race")
    assert read_outcome(day, 7, _journal_entry(), report).not_played == ()
    # It matches one entry only.
    report = _report("core_cut", "core_cut", "config_race")
    assert [entry.at for entry in read_outcome(day, 7, _journal_entry(), report).not_played] == [
        9.0
    ]


@pytest.mark.parametrize(
    "changes, words",
    [
        (
            {"rules": {"LOST": 2, "CONFIG": 1}, "gate": False},
            "gate failed; rules broken: CONFIG 1, LOST 2",
        ),
        ({"fault": "too slow", "gate": False}, "fault: too slow"),
    ],
)
def test_a_run_with_a_broken_rule_or_a_fault_is_not_clean(tmp_path, changes, words):
    outcome = read_outcome(
        _day(tmp_path, DAY.format(name="sample")), 7, _journal_entry(**changes), {}
    )
    assert not outcome.is_clean and not outcome.gate
    assert words in outcome.summary()


def test_a_run_below_its_floors_reports_their_text(tmp_path):
    entry = _journal_entry(gate=False, short=["0.28 of the worth; the floor is 0.39"])
    outcome = read_outcome(_day(tmp_path, DAY.format(name="sample")), 7, entry, {})
    assert outcome.is_clean and not outcome.gate
    assert "the floor is 0.39" in outcome.summary()


def test_a_run_without_a_day_has_no_figures(tmp_path):
    day = _day(tmp_path, DAY.format(name="sample"))
    for entry in (
        {"site": "somewhere", "ok": False, "error": "no build"},
        {"site": "somewhere", "ok": True, "days": []},
    ):
        outcome = read_outcome(day, 7, entry, {})
        assert not outcome.is_clean and outcome.worth is None
        assert "no figures" in outcome.summary()
    silent = make_failed_outcome(day, 7, "somewhere", "built in 2 s\nfleetbench: no such kind\n\n")
    assert silent.error == "fleetbench: no such kind" and not silent.is_clean


def test_outcomes_can_be_written_as_json(tmp_path):
    from dataclasses import asdict

    outcome = read_outcome(_day(tmp_path, DAY.format(name="sample")), 7, _journal_entry(), {})
    assert json.loads(json.dumps(asdict(outcome), default=sorted))["day"] == "sample"
