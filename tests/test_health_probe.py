"""What a target says of its cold time in a health answer."""

from datetime import timedelta

import pytest

from marblefold.proxy.health_probe import parse_cold_remaining


def test_a_target_that_does_not_mention_it_is_warm():
    assert parse_cold_remaining(None) == timedelta(0)
    assert parse_cold_remaining(b"1500") == timedelta(seconds=1.5)


@pytest.mark.parametrize("value", [b"soon", b"inf", b"nan", b"1e300", b"1,5"])
def test_what_cannot_be_read_is_not_taken_for_warm(value):
    """Such an answer tells nothing, and the limit stays as it was."""
    assert parse_cold_remaining(value) is None
