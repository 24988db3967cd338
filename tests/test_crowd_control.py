"""Crowds of one sort leave room for the others."""

from hypothesis import given
from hypothesis import strategies as st

from marblefold.circuit_breaker.crowd_control import CrowdConfig, CrowdControl

CONFIG = CrowdConfig(resources=100)


def fill(crowd, sort, rank, count):
    tickets = []
    for number in range(count):
        if crowd.ask(sort, rank, float(number)).allowed:
            tickets.append(crowd.begin(sort, float(number), "x"))
    return tickets


def test_a_flood_leaves_what_others_normally_need():
    crowd = CrowdControl(CONFIG)
    for _ in range(300):
        held = fill(crowd, "bookings", 0, 20)
        for ticket in held:
            crowd.end("bookings", ticket)
    normal = 100 * 0.9 - crowd.allowed("views", 0)
    assert 5 < normal <= 20
    views = fill(crowd, "views", 2, 300)
    assert len(views) < 80
    assert len(fill(crowd, "bookings", 0, 8)) == 8
    refusal = crowd.ask("views", 2, 302.0)
    assert not refusal.allowed and refusal.retry_after == 5.0
    for ticket in views:
        crowd.end("views", ticket)
    assert crowd.ask("views", 2, 303.0).allowed


@given(st.lists(st.tuples(
    st.sampled_from(["a", "b", "c"]), st.integers(0, 8), st.booleans()), max_size=400))
def test_the_whole_never_exceeds_what_may_be_used(events):
    crowd = CrowdControl(CONFIG)
    held = {"a": [], "b": [], "c": []}
    for number, (sort, rank, is_end) in enumerate(events):
        if is_end and held[sort]:
            crowd.end(sort, held[sort].pop())
        elif crowd.ask(sort, rank, float(number)).allowed:
            held[sort].append(crowd.begin(sort, float(number), "x"))
        counts = sum(len(tickets) for tickets in held.values())
        assert crowd.total == counts <= 90
