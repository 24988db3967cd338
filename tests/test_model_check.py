"""Explores all interleavings of two proposers, a lost disk and a read, within small bounds."""

from tools.model_check.__main__ import make_bounds
from tools.model_check.search import search
from tools.model_check.world import Action


def test_three_members_one_lost_disk_nine_actions_deep():
    result = search(make_bounds(3, wipes=1, power_losses=0), depth=9, max_states=5000)
    assert result.is_complete and not result.violation, result


def test_five_members_after_a_promise_was_lost_with_a_disk():
    """Explores all orders after that; in each quorum one member was not read."""
    prefix = (
        Action("deliver", "x", 0, "prepare"),
        Action("wipe", "x"),
        Action("read", "x", sources=("w", "y", "z")),
    )
    result = search(make_bounds(5, 1, 0), depth=11, max_states=5000, prefix=prefix)
    assert result.is_complete and not result.violation, result
