"""A cold target is never offered more in a second than it bears, whatever its proxy knows."""

import asyncio

import pytest

from tests.simulated_cold import ALLOWED, ColdPath


@pytest.fixture
def path():
    made = ColdPath()
    yield made
    # The invariant that the programs themselves count.
    assert made.guard.cold.monitor.violations == 0
    made.close()


def press(path, seconds, per_tenth=10):
    """Asks for so many seconds, a hundred requests in each of them; returns when it began."""
    began = path.stage.now
    for _step in range(round(seconds * 10)):
        path.ask(per_tenth)
        path.spend(0.1)
    return began


def test_a_warm_target_is_offered_what_comes(path):
    path.warm_up()
    began = press(path, 1.0)
    assert path.most_in_a_second(began, path.stage.now) >= 90


def test_a_cold_target_is_offered_no_more_than_it_bears(path):
    path.warm_up()
    path.beat(3.0)
    began = press(path, 3.0)
    assert 0 < path.most_in_a_second(began, began + 3.0) <= ALLOWED


def test_a_guard_without_a_configuration_keeps_the_limit(path):
    """Its proxy was restarted while the control machines were out of reach."""
    path.beat(3.0)
    began = press(path, 3.0)
    assert path.most_in_a_second(began, began + 3.0) <= ALLOWED


def test_whoever_sends_tells_the_limit_to_a_guard_without_a_configuration(path):
    path.beat(3.0)
    path.spend(1.2)
    began = press(path, 1.5)
    assert path.most_in_a_second(began, path.stage.now) > 30


def test_a_heartbeat_that_was_on_its_way_does_not_make_the_target_warm(path):
    """It was sent before the target went cold, and is heard after its zone was taken back."""
    path.warm_up()
    path.guard.cold.mark_uncertain(path.stage.now, "zone taken back")
    path.beat(0.0)
    began = press(path, 3.0)
    assert path.most_in_a_second(began, began + 3.0) <= ALLOWED


def test_a_first_heartbeat_may_be_older_than_the_process_that_hears_it(path):
    path.configure()
    path.beat(0.0)
    began = press(path, 3.0)
    assert path.most_in_a_second(began, began + 3.0) <= ALLOWED


def test_a_doubt_that_no_probe_ends_lasts_for_the_whole_cold_start(path):
    path.warm_up()
    path.guard.cold.mark_uncertain(path.stage.now, "zone taken back")
    began = press(path, 2.9)
    assert path.most_in_a_second(began, began + 2.9) <= ALLOWED
    assert path.probes > 1
    later = press(path, 1.5)
    assert path.most_in_a_second(later, path.stage.now) > ALLOWED


def test_a_health_answer_ends_a_doubt_if_it_was_asked_for_after_it(path):
    path.warm_up()
    path.spend(0.2)
    asked_before = path.stage.now - 0.1
    path.guard.cold.mark_uncertain(path.stage.now, "zone taken back")
    path.answer_health(0.0, asked_before)
    began = press(path, 1.0)
    assert path.most_in_a_second(began, path.stage.now) <= ALLOWED
    path.answer_health(0.0, path.stage.now)
    later = press(path, 1.2)
    assert path.most_in_a_second(later, path.stage.now) > ALLOWED


def test_a_health_answer_that_says_cold_outlives_a_heartbeat_that_says_warm(path):
    path.warm_up()
    path.answer_health(2.0, path.stage.now)
    path.beat(0.0)
    began = press(path, 2.0)
    assert path.most_in_a_second(began, began + 2.0) <= ALLOWED


def test_a_target_that_was_offered_nothing_may_have_gone_cold_unknown(path):
    """The proxy was cut off and never heard that its zone was emptied and taken back."""
    path.warm_up()
    path.spend(4.0)
    began = press(path, 2.9)
    assert path.most_in_a_second(began, began + 2.9) <= ALLOWED
    assert path.probes > 0


def test_a_process_that_stood_still_may_have_missed_that_its_target_went_cold(path):
    path.warm_up()
    press(path, 0.5)
    path.stage.now += 1.3
    began = press(path, 2.9)
    assert path.most_in_a_second(began, began + 2.9) <= ALLOWED


def test_requests_whose_connections_open_late_are_counted_when_they_are_written(path):
    path.warm_up()
    path.beat(3.0)
    began = path.stage.now
    path.ask(30)
    # All of these are admitted while there is room for a few.
    gate = path.stage.loop.gate = asyncio.Event()
    path.guard.set_address(path.address)
    path.ask(12)
    path.spend(0.1)
    path.stage.call(gate.set)
    path.spend(0.0)
    assert 30 < path.most_in_a_second(began, path.stage.now) <= ALLOWED


def test_a_request_written_late_leaves_that_much_less_room(path):
    """What was admitted in one second and is written in the next counts in the next."""
    path.warm_up()
    path.beat(3.0)
    path.spend(1.5)
    gate = path.stage.loop.gate = asyncio.Event()
    path.guard.set_address(path.address)
    began = path.stage.now
    path.ask(12)
    path.spend(0.24)
    path.stage.call(gate.set)
    path.spend(0.83)
    path.ask(40)
    assert path.most_in_a_second(began, path.stage.now) <= ALLOWED


def test_a_limit_that_nobody_knows_is_not_none(path):
    """Neither sender nor guard finds the upstream in a configuration."""
    path.table.upstreams.clear()
    path.beat(3.0)
    path.spend(1.2)
    began = press(path, 1.5)
    assert path.most_in_a_second(began, path.stage.now) <= 2


def test_what_a_doubt_refuses_has_the_target_probed(path):
    """A proxy that has just started refuses everything; a probe may end that at once."""
    path.configure()
    path.beat(0.0)
    path.ask(1)
    assert path.probes == 1
    path.answer_health(0.0, path.stage.now)
    began = press(path, 0.5)
    assert path.most_in_a_second(began, path.stage.now) > ALLOWED


def test_an_answer_to_an_earlier_probe_does_not_replace_one_to_a_later(path):
    path.warm_up()
    asked = path.stage.now
    path.spend(0.3)
    path.answer_health(3.0, path.stage.now)
    path.answer_health(0.0, asked)
    began = press(path, 2.9)
    assert path.most_in_a_second(began, began + 2.9) <= ALLOWED


def test_a_quiet_target_is_not_probed(path):
    path.warm_up()
    for _second in range(20):
        path.spend(2.0)
        path.ask(2)
    assert path.probes == 0
