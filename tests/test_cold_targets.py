"""A cold target never receives more requests in a second than allowed.

This must hold whatever the proxy beside the target knows.
"""

import asyncio

import pytest

from tests.simulated_cold import ALLOWED, ColdPath


@pytest.fixture
def path():
    made = ColdPath()
    yield made
    # The programs count violations of the invariant themselves.
    assert made.guard.cold.monitor.violations == 0
    made.close()


def send_load(path, seconds, per_tenth=10):
    """Sends `per_tenth` requests every 0.1 seconds; returns when the load began."""
    began = path.simulation.now
    for _step in range(round(seconds * 10)):
        path.send_requests(per_tenth)
        path.advance(0.1)
    return began


def test_a_warm_target_is_not_limited(path):
    path.warm_up()
    began = send_load(path, 1.0)
    assert path.max_in_a_second(began, path.simulation.now) >= 90


def test_a_cold_target_is_limited(path):
    path.warm_up()
    path.heartbeat(3.0)
    began = send_load(path, 3.0)
    assert 0 < path.max_in_a_second(began, began + 3.0) <= ALLOWED


def test_a_guard_without_a_configuration_keeps_the_limit(path):
    """The proxy was restarted while the control plane was unreachable."""
    path.heartbeat(3.0)
    began = send_load(path, 3.0)
    assert path.max_in_a_second(began, began + 3.0) <= ALLOWED


def test_the_sender_provides_the_limit_to_a_guard_without_a_configuration(path):
    path.heartbeat(3.0)
    path.advance(1.2)
    began = send_load(path, 1.5)
    assert path.max_in_a_second(began, path.simulation.now) > 30


def test_a_delayed_heartbeat_does_not_make_the_target_warm(path):
    """It was sent before the target went cold and arrives after the evacuation has ended."""
    path.warm_up()
    path.guard.cold.mark_uncertain(path.simulation.now, "zone taken back")
    path.heartbeat(0.0)
    began = send_load(path, 3.0)
    assert path.max_in_a_second(began, began + 3.0) <= ALLOWED


def test_a_first_heartbeat_may_be_older_than_the_process_that_receives_it(path):
    path.configure()
    path.heartbeat(0.0)
    began = send_load(path, 3.0)
    assert path.max_in_a_second(began, began + 3.0) <= ALLOWED


def test_uncertainty_without_a_probe_answer_lasts_for_the_whole_cold_start(path):
    path.warm_up()
    path.guard.cold.mark_uncertain(path.simulation.now, "zone taken back")
    began = send_load(path, 2.9)
    assert path.max_in_a_second(began, began + 2.9) <= ALLOWED
    assert path.probes > 1
    later = send_load(path, 1.5)
    assert path.max_in_a_second(later, path.simulation.now) > ALLOWED


def test_a_health_answer_ends_uncertainty_only_if_requested_after_it_began(path):
    path.warm_up()
    path.advance(0.2)
    requested_before = path.simulation.now - 0.1
    path.guard.cold.mark_uncertain(path.simulation.now, "zone taken back")
    path.answer_health(0.0, requested_before)
    began = send_load(path, 1.0)
    assert path.max_in_a_second(began, path.simulation.now) <= ALLOWED
    path.answer_health(0.0, path.simulation.now)
    later = send_load(path, 1.2)
    assert path.max_in_a_second(later, path.simulation.now) > ALLOWED


def test_a_cold_health_answer_prevails_over_a_warm_heartbeat(path):
    path.warm_up()
    path.answer_health(2.0, path.simulation.now)
    path.heartbeat(0.0)
    began = send_load(path, 2.0)
    assert path.max_in_a_second(began, began + 2.0) <= ALLOWED


def test_an_idle_target_may_have_gone_cold_unnoticed(path):
    """The proxy was partitioned and not told that its zone was evacuated and restored."""
    path.warm_up()
    path.advance(4.0)
    began = send_load(path, 2.9)
    assert path.max_in_a_second(began, began + 2.9) <= ALLOWED
    assert path.probes > 0


def test_a_suspended_process_may_have_missed_that_its_target_went_cold(path):
    path.warm_up()
    send_load(path, 0.5)
    path.simulation.now += 1.3
    began = send_load(path, 2.9)
    assert path.max_in_a_second(began, began + 2.9) <= ALLOWED


def test_requests_on_slow_connections_are_counted_when_they_are_written(path):
    path.warm_up()
    path.heartbeat(3.0)
    began = path.simulation.now
    path.send_requests(30)
    # All of these are admitted, although the window has room for only a few.
    gate = path.simulation.loop.gate = asyncio.Event()
    path.guard.set_address(path.address)
    path.send_requests(12)
    path.advance(0.1)
    path.simulation.call(gate.set)
    path.advance(0.0)
    assert 30 < path.max_in_a_second(began, path.simulation.now) <= ALLOWED


def test_a_request_written_late_counts_when_it_is_written(path):
    """A request admitted in one second and written in the next counts in the next."""
    path.warm_up()
    path.heartbeat(3.0)
    path.advance(1.5)
    gate = path.simulation.loop.gate = asyncio.Event()
    path.guard.set_address(path.address)
    began = path.simulation.now
    path.send_requests(12)
    path.advance(0.24)
    path.simulation.call(gate.set)
    path.advance(0.83)
    path.send_requests(40)
    assert path.max_in_a_second(began, path.simulation.now) <= ALLOWED


def test_an_unknown_limit_does_not_mean_unlimited(path):
    """Neither the sender nor the guard has the upstream in its configuration."""
    path.table.upstreams.clear()
    path.heartbeat(3.0)
    path.advance(1.2)
    began = send_load(path, 1.5)
    assert path.max_in_a_second(began, path.simulation.now) <= 2


def test_a_refusal_due_to_uncertainty_triggers_a_probe(path):
    """A proxy that has just started refuses all requests; a probe may end that at once."""
    path.configure()
    path.heartbeat(0.0)
    path.send_requests(1)
    assert path.probes == 1
    path.answer_health(0.0, path.simulation.now)
    began = send_load(path, 0.5)
    assert path.max_in_a_second(began, path.simulation.now) > ALLOWED


def test_an_answer_to_an_earlier_probe_does_not_replace_one_to_a_later_probe(path):
    path.warm_up()
    requested_at = path.simulation.now
    path.advance(0.3)
    path.answer_health(3.0, path.simulation.now)
    path.answer_health(0.0, requested_at)
    began = send_load(path, 2.9)
    assert path.max_in_a_second(began, began + 2.9) <= ALLOWED


def test_a_quiet_target_is_not_probed(path):
    path.warm_up()
    for _second in range(20):
        path.advance(2.0)
        path.send_requests(2)
    assert path.probes == 0
