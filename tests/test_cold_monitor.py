"""The monitor of cold targets against a plain model that knows the target's own clock."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from marblefold.request_path.cold_monitor import ColdMonitor
from marblefold.request_path.cold_state import ColdReport, ReportSource

COLD_START = timedelta(seconds=3)


def report(monitor, left, at, bound, source=ReportSource.HEALTH):
    monitor.note_report(ColdReport(source, timedelta(seconds=left), at, at), COLD_START, bound)


@given(
    steps=st.lists(st.floats(0.001, 0.3), max_size=120),
    went_cold=st.floats(0, 5),
    told_after=st.floats(0, 2.9),
    bound=st.integers(1, 9),
    known_after=st.floats(0, 6),
)
def test_it_finds_exactly_the_requests_beyond_the_bound(
    steps, went_cold, told_after, bound, known_after
):
    """Whenever the target tells it, and whenever the bound becomes known."""
    monitor = ColdMonitor()
    now, written, has_told = 100.0, [], False
    began, told = 100.0 + went_cold, 100.0 + went_cold + told_after
    for seconds in [*steps, 10.0]:
        now += seconds
        known = bound if now >= 100.0 + known_after or now >= 110.0 else float("inf")
        if not has_told and now >= told:
            has_told = True
            report(monitor, 3.0 - told_after, told, known)
        written.append(now)
        monitor.note_written(now, known)
    # The monitor learns when it went cold from what is left, to the last bit or so.
    cold = [at for at in written if began + 1e-6 <= at <= began + 3.0 - 1e-6]
    beyond = sum(1 for end in cold if sum(1 for at in cold if end - 1.0 + 1e-6 < at <= end) > bound)
    assert beyond <= monitor.violations <= beyond + _near_edges(written, began)


def _near_edges(written, began):
    """Requests for which rounding may decide."""
    edges = [began, began + 3.0, *(at + 1.0 for at in written)]
    return sum(1 for at in written if any(abs(at - edge) <= 2e-6 for edge in edges))


def test_another_instance_begins_with_nothing():
    monitor = ColdMonitor()
    for _request in range(9):
        monitor.note_written(100.0, 3.0)
    monitor.begin_instance()
    report(monitor, 3.0, 100.1, 3.0)
    assert monitor.violations == 0


def test_a_heartbeat_that_is_seconds_old_is_no_reason_to_look_back():
    """The target is warm again, as a health answer has told, when an older heartbeat comes."""
    monitor = ColdMonitor()
    report(monitor, 3.0, 100.0, 3.0)
    report(monitor, 0.0, 103.0, 3.0)
    for _request in range(9):
        monitor.note_written(103.1, 3.0)
    report(monitor, 0.4, 103.2, 3.0, ReportSource.HEARTBEAT)
    assert monitor.violations == 0
