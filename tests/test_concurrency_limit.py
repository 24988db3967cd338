"""Crowds of one route leave room for the others."""

from hypothesis import given
from hypothesis import strategies as st

from marblefold.circuit_breaker.concurrency_limit import ConcurrencyLimiter, ConcurrencyLimits

CONFIG = ConcurrencyLimits(resources=100)


def fill(concurrency_limiter, route, rank, count):
    permits = []
    for number in range(count):
        if concurrency_limiter.admit(route, rank, float(number)).allowed:
            permits.append(concurrency_limiter.begin(route, float(number), "x"))
    return permits


def test_a_flood_leaves_what_others_normally_need():
    concurrency_limiter = ConcurrencyLimiter(CONFIG)
    for _ in range(300):
        held = fill(concurrency_limiter, "bookings", 0, 20)
        for permit in held:
            concurrency_limiter.end("bookings", permit)
    normal = 100 * 0.9 - concurrency_limiter.allowed("views", 0)
    assert 5 < normal <= 20
    views = fill(concurrency_limiter, "views", 2, 300)
    assert len(views) < 80
    assert len(fill(concurrency_limiter, "bookings", 0, 8)) == 8
    refusal = concurrency_limiter.admit("views", 2, 302.0)
    assert not refusal.allowed and refusal.retry_after == 5.0
    for permit in views:
        concurrency_limiter.end("views", permit)
    assert concurrency_limiter.admit("views", 2, 303.0).allowed


@given(
    st.lists(
        st.tuples(st.sampled_from(["a", "b", "c"]), st.integers(0, 8), st.booleans()), max_size=400
    )
)
def test_the_whole_never_exceeds_what_may_be_used(events):
    concurrency_limiter = ConcurrencyLimiter(CONFIG)
    held = {"a": [], "b": [], "c": []}
    for number, (route, rank, is_end) in enumerate(events):
        if is_end and held[route]:
            concurrency_limiter.end(route, held[route].pop())
        elif concurrency_limiter.admit(route, rank, float(number)).allowed:
            held[route].append(concurrency_limiter.begin(route, float(number), "x"))
        counts = sum(len(permits) for permits in held.values())
        assert concurrency_limiter.total == counts <= 90
