"""The remaining cold time in the health answer of a target."""

from datetime import timedelta

import pytest

from marblefold.proxy.health_probe import parse_cold_remaining


def test_a_target_that_reports_no_cold_time_is_warm():
    assert parse_cold_remaining(None) == timedelta(0)
    assert parse_cold_remaining(b"1500") == timedelta(seconds=1.5)


@pytest.mark.parametrize("value", [b"soon", b"inf", b"nan", b"1e300", b"1,5"])
def test_a_malformed_value_does_not_count_as_warm(value):
    """Such an answer is ignored, and the limit stays as it was."""
    assert parse_cold_remaining(value) is None
