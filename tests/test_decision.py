"""Tests which answers a RequestDecision gives, and when it retries."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from marblefold.circuit_breaker.breaker import Admission
from marblefold.configuration.rows import Route
from marblefold.http_connections.answer import Answer
from marblefold.request_path.decision import Conclude, Offer, RequestDecision
from marblefold.request_path.mesh_view import KnownTarget
from marblefold.request_path.outcome import NO_SLOT, HopOutcome, HopResult
from marblefold.request_path.running_requests import RunningRequest, RunningRequests
from marblefold.request_path.target_selection import SelectedTarget

NOT_RUN_STATUSES = (408, 421, 429, 503)


def make_target(number):
    return KnownTarget(
        f"node-{number}",
        f"10.0.0.{number}:7600",
        "hall",
        "here",
        f"i-{number}",
        "quotes",
        4,
        False,
        0.0,
        False,
    )


class FakeInputs:
    """Decision inputs with a given number of targets."""

    def __init__(self, budget=True, admission=Admission(True, 0.0), targets=50):
        self.budget, self.admission, self.targets, self.selected = budget, admission, targets, 0

    def select(self, upstream, tried, allowed_regions, kilobytes, now):
        if self.selected >= self.targets:
            return None
        self.selected += 1
        return SelectedTarget(make_target(self.selected), False)

    def check_breaker(self, upstream, now):
        return self.admission

    def may_retry(self, upstream, now):
        return self.budget


def make_decision(kind, inputs, max_attempts=3, is_replayable=True, is_nested_call=False):
    route = Route(
        "r",
        "h",
        "/",
        kind,
        timedelta(seconds=2),
        timedelta(milliseconds=400),
        max_attempts,
        0,
        ("quotes",),
        (1.0,),
        (),
    )
    return RequestDecision(
        route, "quotes", "id", 0.0, 2.0, is_replayable, 1.0, is_nested_call, inputs
    )


def result(outcome, status=200):
    answer = Answer(status) if outcome is HopOutcome.ANSWERED else None
    return HopResult(outcome, answer, 0.1, "step")


@given(
    kind=st.sampled_from(["read_only", "mutating", "upload"]),
    ends=st.lists(
        st.tuples(
            st.sampled_from(list(HopOutcome)), st.sampled_from([200, 404, 500]), st.floats(0.0, 0.3)
        ),
        max_size=12,
    ),
    budget=st.booleans(),
    replayable=st.booleans(),
)
def test_not_run_answers_are_true_and_retries_are_limited(kind, ends, budget, replayable):
    """Checks the rules against the whole history of a request.

    A status that says "not run" is given exactly if no target can have run the request,
    and a request that is not read-only goes to no other target once it may have run.
    """
    decision = make_decision(kind, FakeInputs(budget), is_replayable=replayable)
    now, history = 0.0, []
    for outcome, status, seconds in ends + [(HopOutcome.UNKNOWN, 200, 3.0)]:
        step = decision.next_step(now)
        if isinstance(step, Conclude):
            break
        now += seconds
        history.append((outcome, status))
        decision.note(step.target, result(outcome, status))
    else:
        step = decision.next_step(now)
    offers = [end for end in history if end[0] is not HopOutcome.NEVER_OFFERED]
    ran = [end for end in offers if end[0] is not HopOutcome.NOT_EXECUTED]
    assert len(offers) <= 3
    assert len(offers) <= 1 or budget
    if kind != "read_only":
        # Once it may have run, it is not sent to another target.
        assert len(ran) <= 1
        assert not ran or history[-1] == ran[0]
    if isinstance(step, Conclude):
        status = step.answer.status
        if any(end[0] is HopOutcome.ANSWERED for end in history):
            return
        assert (status in NOT_RUN_STATUSES) == (not ran)
        if status in NOT_RUN_STATUSES:
            assert b"Retry-After" in step.answer.header_block


def test_an_open_breaker_answers_not_run_with_a_retry_after():
    decision = make_decision("mutating", FakeInputs(admission=Admission(False, 0.7)))
    step = decision.next_step(0.0)
    assert step.answer.status == 503 and b"Retry-After: 0.700" in step.answer.header_block


def test_without_targets_the_request_is_refused_immediately():
    step = make_decision("read_only", FakeInputs(targets=0)).next_step(0.0)
    assert isinstance(step, Conclude) and step.answer.status == 503


def test_a_refusal_after_the_queue_time_ends_the_search():
    decision = make_decision("read_only", FakeInputs())
    offer = decision.next_step(0.0)
    assert isinstance(offer, Offer) and abs(offer.queue_seconds - 0.08) < 1e-9
    decision.note(offer.target, result(HopOutcome.NEVER_OFFERED))
    assert isinstance(decision.next_step(0.05), Offer)
    decision.note(offer.target, result(HopOutcome.NEVER_OFFERED))
    assert decision.next_step(0.11).answer.status == 503


def decline_until_queued(decision):
    """Returns the targets that declined for lack of a free slot, and the offer that may queue."""
    declined = []
    while (offer := decision.next_step(0.0)).queue_seconds == 0.0:
        declined.append(offer.target)
        decision.note(offer.target, HopResult(HopOutcome.NEVER_OFFERED, step=NO_SLOT))
    return declined, offer


def test_nested_calls_try_for_a_free_slot_before_they_queue():
    declined, offer = decline_until_queued(
        make_decision("read_only", FakeInputs(), is_nested_call=True)
    )
    assert len(declined) == 2 and abs(offer.queue_seconds - 1.2) < 1e-9
    # A request that holds no slot elsewhere queues at the first target.
    declined, offer = decline_until_queued(make_decision("read_only", FakeInputs()))
    assert not declined and abs(offer.queue_seconds - 0.08) < 1e-9


def test_a_nested_call_queues_at_a_full_target_if_all_are_full():
    class TwoTargets(FakeInputs):
        def select(self, upstream, tried, allowed_regions, kilobytes, now):
            remaining = [make_target(n) for n in (1, 2) if f"i-{n}" not in tried]
            return SelectedTarget(remaining[0], False) if remaining else None

    declined, offer = decline_until_queued(
        make_decision("mutating", TwoTargets(), is_nested_call=True)
    )
    assert [target.node for target in declined] == ["node-1", "node-2"]
    assert offer.target in declined and offer.queue_seconds > 0
    # A target that refused for another reason is not tried again.
    decision = make_decision("mutating", TwoTargets(), is_nested_call=True)
    decision.note(
        decision.next_step(0.0).target, HopResult(HopOutcome.NEVER_OFFERED, step="draining")
    )
    declined, offer = decline_until_queued(decision)
    assert [target.node for target in declined] == ["node-2"] and offer.target.node == "node-2"


def test_an_error_answer_is_passed_on_if_no_retry_is_allowed():
    decision = make_decision("read_only", FakeInputs(budget=False))
    decision.note(decision.next_step(0.0).target, result(HopOutcome.ANSWERED, 500))
    assert decision.next_step(0.1).answer.status == 500


def test_a_nested_call_may_queue_longer_for_a_slot():
    _declined, offer = decline_until_queued(
        make_decision("read_only", FakeInputs(), is_nested_call=True)
    )
    assert abs(offer.queue_seconds - 1.2) < 1e-9


def test_nested_calls_are_recognised_by_the_id_of_their_parent():
    running_requests = RunningRequests()
    parent = RunningRequest("9c41", True)
    running_requests.begin(parent)
    assert running_requests.find_parent("9c41.7e") is parent
    assert (
        running_requests.find_parent("9c41") is None
        and running_requests.find_parent("77aa.9c41") is None
    )
    running_requests.end(parent)
    assert running_requests.find_parent("9c41.7e") is None
