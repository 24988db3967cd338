"""Traffic's results in nomination: grey, flapping and forgotten targets."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from marblefold.http_streams.target_stream import StreamState
from marblefold.http_streams.target_streams import TargetStreams
from marblefold.node_config.reading import Address
from marblefold.request_path.mesh_view import KnownTarget, MeshView
from marblefold.request_path.nomination import Nominator
from marblefold.request_path.target_record import TargetRecord


def make_nominator(count=8, **more):
    view = MeshView("node")
    targets = [KnownTarget(
        f"t{index}", f"m{index}", "hall", "here", f"i{index}", "quotes", 8, False, 0.0, False)
        for index in range(count)]
    view.targets = lambda _upstream: targets
    return Nominator(view, "hall", seed=1, **more), targets


def shares(nominator, now, picks=400):
    counts = {}
    for _ in range(picks):
        node = nominator.nominate("quotes", (), None, 1.0, now).target.node
        counts[node] = counts.get(node, 0) + 1
    return counts


def test_a_target_that_fails_part_of_its_requests_gets_less_and_comes_back():
    nominator, targets = make_nominator()
    for index in range(20):
        for target in targets:
            nominator.note_latency(target, 0.4, 1.0)
        if index % 2:
            nominator.note_failure(targets[0], 1.0)
    assert shares(nominator, 1.1).get("t0", 0) == 0
    # Nothing is held against it for ever.
    assert shares(nominator, 60.0).get("t0", 0) > 10


def test_when_most_break_down_all_are_used():
    nominator, targets = make_nominator()
    for target in targets[:6]:
        nominator.note_breakdown(target, 1.0)
    assert len(shares(nominator, 1.1)) > 2
    nominator, targets = make_nominator()
    for target in targets[:3]:
        nominator.note_breakdown(target, 1.0)
    assert not set(shares(nominator, 1.1)) & {"t0", "t1", "t2"}


def test_a_gateway_keeps_to_a_subset_that_changes_little():
    nominator, targets = make_nominator(40, subset_of="gateway-1")
    before = set(shares(nominator, 1.0))
    assert len(before) == 6
    gone = next(target for target in targets if target.node in before)
    targets.remove(gone)
    after = set(shares(nominator, 1.0))
    assert len(after) == 6 and len(after & before) == 5


@given(st.lists(st.floats(0.1, 30.0), min_size=1, max_size=12))
def test_the_wait_of_a_flapping_target_grows_and_is_bounded(pauses):
    record, now, last, pause_before, until_before = TargetRecord(), 100.0, 0.0, 0.0, 0.0
    for pause in pauses:
        record.note_breakdown(now)
        wait = record.broken_until - now
        assert 0.999 <= wait <= 8.001
        flapped = last and pause_before < 9.9 and now >= until_before
        if flapped:
            assert wait > min(8.0, last) - 0.001
        last, pause_before, until_before = wait, pause, record.broken_until
        now += pause


def test_a_stream_that_rested_takes_nothing_that_may_run_once():
    async def test():
        accepted = []

        async def serve(reader, writer):
            accepted.append(writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        streams = TargetStreams(Address(*server.sockets[0].getsockname()))
        first = await streams.take()
        first.change_state(StreamState.BUSY)
        first.usable_until = 1e12
        streams.give_back(first)
        first.rested_since -= 1.0
        other = await streams.take(0.2)
        assert other is not first and streams.open_count == 2
        assert await streams.take() is first
        # Closed without a byte after a rest: the target forgot it.
        first.rest_before, first.has_answered = 1.0, False
        first.change_state(StreamState.CLOSED)
        streams.discard(first)
        other.change_state(StreamState.BUSY)
        other.usable_until = 1e12
        streams.give_back(other)
        other.rested_since -= 0.7
        assert await streams.take() is not other
        streams.close_stale()
        assert streams.idle_count == 0
        server.close()
    asyncio.run(test())


def test_without_guards_a_draining_target_is_no_resort_at_all():
    for has_guards in (True, False):
        nominator, targets = make_nominator(1, has_guards=has_guards)
        targets[0] = targets[0]._replace(is_draining=True)
        nominee = nominator.nominate("quotes", (), None, 1.0, 1.0)
        assert (nominee is not None) == has_guards


def test_where_many_are_dark_and_the_rest_is_busy_the_busy_are_asked_again():
    nominator, targets = make_nominator(10)
    for target in targets[:4]:
        nominator._view.suspects.add(target.node)
    for target in targets[4:8]:
        nominator.note_refusal(target, 5.0)
    # Eight of ten are passed over, which is too many; the dark are still no help.
    assert not set(shares(nominator, 1.0)) & {"t0", "t1", "t2", "t3"}
    for target in targets[8:]:
        nominator.note_refusal(target, 5.0)
    assert not set(shares(nominator, 1.0)) & {"t0", "t1", "t2", "t3"}
    # With most of them thought dark, that thought is not believed.
    for target in targets[4:7]:
        nominator._view.suspects.add(target.node)
    assert set(shares(nominator, 1.0)) & {"t0", "t1", "t2", "t3"}
