"""What a guard tells of its target's slowness, and what nomination makes of it."""

from hypothesis import given
from hypothesis import strategies as st

from marblefold.request_path.mesh_view import KnownTarget, MeshView
from marblefold.request_path.nomination import Nominator
from marblefold.request_path.slowness import Slowness


def learned(usual=0.3):
    slowness = Slowness()
    for number in range(40):
        assert not slowness.note(usual, number * 0.1)
    return slowness


def test_a_target_that_turns_slow_is_told_once_and_comes_back_by_steps():
    slowness = learned()
    changes = [slowness.note(1.5, 10.0 + n) for n in range(12)]
    assert 0 < sum(changes) <= 2 and slowness.level == 4
    # Little comes to it now: without news the figure halves.
    assert not slowness.look((), 22.0)
    levels = []
    for tick in range(100):
        slowness.look((), 22.0 + tick * 0.1)
        levels.append(slowness.level)
    assert levels[-1] == 1 and set(levels) == {4, 2, 1}


def test_what_is_under_way_shows_it_before_anything_ends():
    slowness = learned()
    assert not slowness.look((0.1, 0.2, 5.0), 10.0)
    # One long run is no sign; all of them are.
    assert slowness.look((1.0, 1.1, 1.2), 10.5) and slowness.level == 2


def test_when_it_is_fast_again_it_is_as_usual_at_once():
    slowness = learned()
    for _ in range(8):
        slowness.note(2.0, 10.0)
    assert slowness.level == 4
    for _ in range(8):
        slowness.note(0.3, 10.5)
    assert slowness.level == 1


@given(st.lists(st.floats(0.15, 0.55), min_size=30, max_size=120))
def test_kinds_of_requests_that_differ_are_no_slowness(times):
    slowness = Slowness()
    assert not any(slowness.note(0.35, 0.0) for _ in range(30))
    assert not any(slowness.note(time, 1.0) for time in times) and slowness.level == 1


def test_callers_without_evidence_of_their_own_go_by_the_guards_word():
    view = MeshView("node")
    targets = [KnownTarget(
        f"t{index}", f"m{index}", "hall", "here", f"i{index}", "quotes", 8, False, 0.0, False,
        slowness=4 if index < 2 else 1) for index in range(6)]
    view.targets = lambda _upstream: targets
    nominator = Nominator(view, "hall", seed=1)
    picked = {nominator.nominate("quotes", (), None, 1.0, 1.0).target.node for _ in range(200)}
    assert not picked & {"t0", "t1"} and len(picked) == 4
    # Slow or not, with nothing else at hand they serve.
    del targets[2:]
    assert nominator.nominate("quotes", (), None, 1.0, 1.0) is not None
