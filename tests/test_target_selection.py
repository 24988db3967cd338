"""Traffic's results in target_selection: grey, flapping and forgotten targets."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from marblefold.http_connections.target_connection import ConnectionState
from marblefold.http_connections.target_connection_pool import TargetConnectionPool
from marblefold.node_config.reading import Address
from marblefold.request_path.mesh_view import KnownTarget, MeshView
from marblefold.request_path.target_record import TargetRecord
from marblefold.request_path.target_selection import TargetSelector


def make_selector(count=8, **more):
    view = MeshView("node")
    targets = [
        KnownTarget(
            f"t{index}", f"m{index}", "hall", "here", f"i{index}", "quotes", 8, False, 0.0, False
        )
        for index in range(count)
    ]
    view.targets = lambda _upstream: targets
    return TargetSelector(view, "hall", seed=1, **more), targets


def shares(selector, now, picks=400):
    counts = {}
    for _ in range(picks):
        node = selector.select("quotes", (), None, 1.0, now).target.node
        counts[node] = counts.get(node, 0) + 1
    return counts


def test_a_target_that_fails_part_of_its_requests_gets_less_and_comes_back():
    selector, targets = make_selector()
    for index in range(20):
        for target in targets:
            selector.note_latency(target, 0.4, 1.0)
        if index % 2:
            selector.note_failure(targets[0], 1.0)
    assert shares(selector, 1.1).get("t0", 0) == 0
    # Nothing is held against it for ever.
    assert shares(selector, 60.0).get("t0", 0) > 10


def test_when_most_break_down_all_are_used():
    selector, targets = make_selector()
    for target in targets[:6]:
        selector.note_error(target, 1.0)
    assert len(shares(selector, 1.1)) > 2
    selector, targets = make_selector()
    for target in targets[:3]:
        selector.note_error(target, 1.0)
    assert not set(shares(selector, 1.1)) & {"t0", "t1", "t2"}


def test_a_gateway_keeps_to_a_subset_that_changes_little():
    selector, targets = make_selector(40, subset_of="gateway-1")
    before = set(shares(selector, 1.0))
    assert len(before) == 6
    gone = next(target for target in targets if target.node in before)
    targets.remove(gone)
    after = set(shares(selector, 1.0))
    assert len(after) == 6 and len(after & before) == 5


@given(st.lists(st.floats(0.1, 30.0), min_size=1, max_size=12))
def test_the_wait_of_a_flapping_target_grows_and_is_bounded(pauses):
    record, now, last, pause_before, until_before = TargetRecord(), 100.0, 0.0, 0.0, 0.0
    for pause in pauses:
        record.note_error(now)
        wait = record.broken_until - now
        assert 0.999 <= wait <= 8.001
        flapped = last and pause_before < 9.9 and now >= until_before
        if flapped:
            assert wait > min(8.0, last) - 0.001
        last, pause_before, until_before = wait, pause, record.broken_until
        now += pause


def test_a_connection_that_rested_takes_nothing_that_may_run_once():
    async def test():
        accepted = []

        async def serve(reader, writer):
            accepted.append(writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        connections = TargetConnectionPool(Address(*server.sockets[0].getsockname()))
        first = await connections.acquire()
        first.change_state(ConnectionState.BUSY)
        first.usable_until = 1e12
        connections.release(first)
        first.idle_since -= 1.0
        other = await connections.acquire(0.2)
        assert other is not first and connections.open_count == 2
        assert await connections.acquire() is first
        # Closed without a byte after a rest: the target forgot it.
        first.idle_seconds_before, first.has_received_bytes = 1.0, False
        first.change_state(ConnectionState.CLOSED)
        connections.discard(first)
        other.change_state(ConnectionState.BUSY)
        other.usable_until = 1e12
        connections.release(other)
        other.idle_since -= 0.7
        assert await connections.acquire() is not other
        connections.close_stale()
        assert connections.idle_count == 0
        server.close()

    asyncio.run(test())


def test_without_guards_a_draining_target_is_no_resort_at_all():
    for has_guards in (True, False):
        selector, targets = make_selector(1, has_guards=has_guards)
        targets[0] = targets[0]._replace(is_draining=True)
        nominee = selector.select("quotes", (), None, 1.0, 1.0)
        assert (nominee is not None) == has_guards


def test_where_many_are_dark_and_the_rest_is_busy_the_busy_are_asked_again():
    selector, targets = make_selector(10)
    for target in targets[:4]:
        selector._view.suspects.add(target.node)
    for target in targets[4:8]:
        selector.note_refusal(target, 5.0)
    # Eight of ten are passed over, which is too many; the dark are still no help.
    assert not set(shares(selector, 1.0)) & {"t0", "t1", "t2", "t3"}
    for target in targets[8:]:
        selector.note_refusal(target, 5.0)
    assert not set(shares(selector, 1.0)) & {"t0", "t1", "t2", "t3"}
    # With most of them thought dark, that thought is not believed.
    for target in targets[4:7]:
        selector._view.suspects.add(target.node)
    assert set(shares(selector, 1.0)) & {"t0", "t1", "t2", "t3"}
