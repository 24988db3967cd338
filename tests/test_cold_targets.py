"""A cold target is never offered more in a second than it bears, whatever its proxy knows."""

import pytest

from tests.simulated_cold import ALLOWED, ColdPath


@pytest.fixture
def path():
    made = ColdPath()
    yield made
    made.close()


def press(path, seconds, per_tenth=10):
    """Asks for so many seconds, a hundred requests in each of them."""
    for _step in range(round(seconds * 10)):
        path.ask(per_tenth)
        path.spend(0.1)


def test_a_warm_target_is_offered_what_comes(path):
    path.configure()
    path.beat(0.0)
    began = path.stage.now
    press(path, 1.0)
    assert path.most_in_a_second(began, path.stage.now) >= 90


def test_a_cold_target_is_offered_no_more_than_it_bears(path):
    path.configure()
    path.beat(3.0)
    began = path.stage.now
    press(path, 3.0)
    assert 0 < path.most_in_a_second(began, began + 3.0) <= ALLOWED


def test_a_guard_without_a_configuration_keeps_the_limit(path):
    """Its proxy was restarted while the control machines were out of reach."""
    path.beat(3.0)
    began = path.stage.now
    press(path, 3.0)
    assert path.most_in_a_second(began, began + 3.0) <= ALLOWED
