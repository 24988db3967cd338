"""What a request's decision promises, and when it tries again."""

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

PROMISES = (408, 421, 429, 503)


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


class DecisionInputs:
    """RoutingState with as many targets as are asked for."""

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
def test_promises_and_repeats_are_kept(kind, ends, budget, replayable):
    """The plain rules, said again over the whole history of a request."""
    decision = make_decision(kind, DecisionInputs(budget), is_replayable=replayable)
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
        # Once it may have run, it goes nowhere else.
        assert len(ran) <= 1
        assert not ran or history[-1] == ran[0]
    if isinstance(step, Conclude):
        status = step.answer.status
        if any(end[0] is HopOutcome.ANSWERED for end in history):
            return
        assert (status in PROMISES) == (not ran)
        if status in PROMISES:
            assert b"Retry-After" in step.answer.header_block


def test_a_breaker_that_refuses_is_a_promise_with_a_time():
    decision = make_decision("mutating", DecisionInputs(admission=Admission(False, 0.7)))
    step = decision.next_step(0.0)
    assert step.answer.status == 503 and b"Retry-After: 0.700" in step.answer.header_block


def test_without_targets_the_final_answer_comes_at_once():
    step = make_decision("read_only", DecisionInputs(targets=0)).next_step(0.0)
    assert isinstance(step, Conclude) and step.answer.status == 503


def test_a_refusal_late_in_the_aim_ends_the_search():
    decision = make_decision("read_only", DecisionInputs())
    offer = decision.next_step(0.0)
    assert isinstance(offer, Offer) and abs(offer.queue_seconds - 0.08) < 1e-9
    decision.note(offer.target, result(HopOutcome.NEVER_OFFERED))
    assert isinstance(decision.next_step(0.05), Offer)
    decision.note(offer.target, result(HopOutcome.NEVER_OFFERED))
    assert decision.next_step(0.11).answer.status == 503


def ask_until_queued(decision):
    """The targets that were asked for a free slot and had none, and the offer that waits."""
    asked = []
    while (offer := decision.next_step(0.0)).queue_seconds == 0.0:
        asked.append(offer.target)
        decision.note(offer.target, HopResult(HopOutcome.NEVER_OFFERED, step=NO_SLOT))
    return asked, offer


def test_free_slots_are_asked_for_before_a_queue_is_joined():
    asked, offer = ask_until_queued(
        make_decision("read_only", DecisionInputs(), is_nested_call=True)
    )
    assert len(asked) == 2 and abs(offer.queue_seconds - 1.2) < 1e-9
    # What holds no slot elsewhere waits where it was sent first.
    asked, offer = ask_until_queued(make_decision("read_only", DecisionInputs()))
    assert not asked and abs(offer.queue_seconds - 0.08) < 1e-9


def test_where_all_were_asked_one_of_them_is_waited_at():
    class Two(DecisionInputs):
        def select(self, upstream, tried, allowed_regions, kilobytes, now):
            left = [make_target(n) for n in (1, 2) if f"i-{n}" not in tried]
            return SelectedTarget(left[0], False) if left else None

    asked, offer = ask_until_queued(make_decision("mutating", Two(), is_nested_call=True))
    assert [target.node for target in asked] == ["node-1", "node-2"]
    assert offer.target in asked and offer.queue_seconds > 0
    # One that turned it away for another reason is not gone back to.
    decision = make_decision("mutating", Two(), is_nested_call=True)
    decision.note(
        decision.next_step(0.0).target, HopResult(HopOutcome.NEVER_OFFERED, step="draining")
    )
    asked, offer = ask_until_queued(decision)
    assert [target.node for target in asked] == ["node-2"] and offer.target.node == "node-2"


def test_a_failed_answer_of_a_target_is_passed_on_when_no_more_may_be_tried():
    decision = make_decision("read_only", DecisionInputs(budget=False))
    decision.note(decision.next_step(0.0).target, result(HopOutcome.ANSWERED, 500))
    assert decision.next_step(0.1).answer.status == 500


def test_a_call_in_the_midst_of_a_run_may_wait_longer_for_a_slot():
    _asked, offer = ask_until_queued(
        make_decision("read_only", DecisionInputs(), is_nested_call=True)
    )
    assert abs(offer.queue_seconds - 1.2) < 1e-9


def test_calls_are_told_by_the_id_of_the_run_they_belong_to():
    running_requests = RunningRequests()
    run = RunningRequest("9c41", True)
    running_requests.begin(run)
    assert running_requests.find_parent("9c41.7e") is run
    assert (
        running_requests.find_parent("9c41") is None
        and running_requests.find_parent("77aa.9c41") is None
    )
    running_requests.end(run)
    assert running_requests.find_parent("9c41.7e") is None
