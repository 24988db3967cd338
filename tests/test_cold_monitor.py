"""The cold-start monitor against a simple model that knows when the target went cold."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from marblefold.request_path.cold_monitor import ColdMonitor
from marblefold.request_path.cold_state import ColdReport, ReportSource

COLD_START = timedelta(seconds=3)


def report(monitor, remaining, at, bound, source=ReportSource.HEALTH):
    monitor.note_report(ColdReport(source, timedelta(seconds=remaining), at, at), COLD_START, bound)


@given(
    steps=st.lists(st.floats(0.001, 0.3), max_size=120),
    went_cold=st.floats(0, 5),
    reported_after=st.floats(0, 2.9),
    bound=st.integers(1, 9),
    known_after=st.floats(0, 6),
)
def test_the_monitor_finds_exactly_the_requests_beyond_the_bound(
    steps, went_cold, reported_after, bound, known_after
):
    """This holds whenever the target reports and whenever the bound becomes known."""
    monitor = ColdMonitor()
    now, written, has_reported = 100.0, [], False
    began, reported_at = 100.0 + went_cold, 100.0 + went_cold + reported_after
    for seconds in [*steps, 10.0]:
        now += seconds
        known = bound if now >= 100.0 + known_after or now >= 110.0 else float("inf")
        if not has_reported and now >= reported_at:
            has_reported = True
            report(monitor, 3.0 - reported_after, reported_at, known)
        written.append(now)
        monitor.note_written(now, known)
    # The monitor derives when the target went cold from the remaining time, up to rounding.
    cold = [at for at in written if began + 1e-6 <= at <= began + 3.0 - 1e-6]
    beyond = sum(1 for end in cold if sum(1 for at in cold if end - 1.0 + 1e-6 < at <= end) > bound)
    assert beyond <= monitor.violations <= beyond + _near_edges(written, began)


def _near_edges(written, began):
    """The number of requests for which rounding may decide."""
    edges = [began, began + 3.0, *(at + 1.0 for at in written)]
    return sum(1 for at in written if any(abs(at - edge) <= 2e-6 for edge in edges))


def test_a_new_instance_starts_without_recorded_requests():
    monitor = ColdMonitor()
    for _request in range(9):
        monitor.note_written(100.0, 3.0)
    monitor.begin_instance()
    report(monitor, 3.0, 100.1, 3.0)
    assert monitor.violations == 0


def test_a_delayed_heartbeat_triggers_no_retrospective_check():
    """A heartbeat older than the health answer that reported a warm target arrives."""
    monitor = ColdMonitor()
    report(monitor, 3.0, 100.0, 3.0)
    report(monitor, 0.0, 103.0, 3.0)
    for _request in range(9):
        monitor.note_written(103.1, 3.0)
    report(monitor, 0.4, 103.2, 3.0, ReportSource.HEARTBEAT)
    assert monitor.violations == 0
