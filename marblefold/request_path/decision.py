"""Decides, step by step, how one request is handled.

Nothing here waits or sends: the executor carries out each step.
"""

from collections.abc import Collection
from typing import NamedTuple, Protocol

from marblefold import wire_names
from marblefold.circuit_breaker.breaker import Admission
from marblefold.configuration.rows import Route
from marblefold.http_connections.answer import Answer, own_answer
from marblefold.request_path.mesh_view import KnownTarget
from marblefold.request_path.outcome import NO_SLOT, HopOutcome, HopResult
from marblefold.request_path.target_selection import SelectedTarget

__all__ = ["ANSWERED_STEP", "Conclude", "DecisionInputs", "Offer", "RequestDecision"]

# The step of a request that ends with the answer of a target.
ANSWERED_STEP = "answered"
# With less time left than this, no hop is sent.
_MIN_HOP_SECONDS = 0.004
# A request that was not offered within this share of its latency target is refused,
# so that the client can retry in time; the rest of the target is left for the hop.
_QUEUE_LATENCY_TARGET_SHARE = 0.2
# If a nested call fails, the running request that made it fails too and is not
# retried, so a nested call may queue for this share of its remaining time.
_QUEUE_NESTED_CALL_SHARE = 0.6
# A hop refused by a guard is cheap, but the search for a target must end.
_MAX_REFUSED_HOPS = 4
# With hundreds of nodes, each uses a given target only once in many seconds, so what
# it knows of the load there is stale; the guard's figures are exact. A nested call
# holds a slot elsewhere while it waits: its first hops require a slot that is free
# now, and only the next one joins a queue.
_HOPS_WITHOUT_QUEUE = 2
_NO_TARGET_RETRY_AFTER_SECONDS = 0.25
_MIN_RETRY_AFTER_SECONDS = 0.05


class Offer(NamedTuple):
    """The next step is to send a hop to this target; times are in seconds."""

    target: KnownTarget
    seconds_left: float
    queue_seconds: float
    latency_target_seconds: float
    attempt_number: int
    is_last_resort: bool


class Conclude(NamedTuple):
    """The request ends with this answer."""

    answer: Answer
    step: str


class DecisionInputs(Protocol):
    """The state of the proxy that a decision depends on; times are monotonic seconds."""

    def select(
        self,
        upstream: str,
        tried: Collection[str],
        allowed_regions: Collection[str] | None,
        kilobytes: float,
        now: float,
    ) -> SelectedTarget | None: ...

    def check_breaker(self, upstream: str, now: float) -> Admission: ...

    def may_retry(self, upstream: str, now: float) -> bool: ...


class RequestDecision:
    """The state of one request between its hops."""

    def __init__(
        self,
        route: Route,
        upstream: str,
        attempt_id: str,
        arrived: float,
        deadline: float,
        is_replayable: bool,
        kilobytes: float,
        is_nested_call: bool,
        inputs: DecisionInputs,
    ) -> None:
        self.upstream = upstream
        self.deadline = deadline
        self._route = route
        self._attempt_id = attempt_id
        self._inputs = inputs
        self._arrived = arrived
        self._latency_target = max(0.02, route.target_latency.total_seconds())
        self._queue_end = arrived + (
            _QUEUE_NESTED_CALL_SHARE * (deadline - arrived)
            if is_nested_call
            else _QUEUE_LATENCY_TARGET_SHARE * self._latency_target
        )
        self._is_nested_call = is_nested_call
        self._is_repeatable = route.kind == wire_names.READ_ONLY
        self._is_replayable = is_replayable
        self._kilobytes = kilobytes
        self._offered_hops = 0
        self._refused_hops = 0
        self._tried: set[str] = set()
        # Targets that had no free slot; a later hop may still queue at each.
        self._full_targets: set[str] = set()
        self._requires_free_slot = False
        self._may_have_run = False
        self._last_result: HopResult | None = None

    @property
    def latency_target(self) -> float:
        """The latency target in seconds; elapsed times are compared as multiples of it."""
        return self._latency_target

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have started to process the request."""
        return self._may_have_run

    def note(self, target: KnownTarget, result: HopResult) -> None:
        """Records how a hop ended."""
        self._last_result = result
        is_only_full = self._requires_free_slot and result.step == NO_SLOT
        (self._full_targets if is_only_full else self._tried).add(target.instance)
        if result.outcome is HopOutcome.NEVER_OFFERED:
            self._refused_hops += 1
            return
        self._offered_hops += 1
        if result.outcome is not HopOutcome.NOT_EXECUTED:
            self._may_have_run = True

    def next_step(self, now: float) -> Offer | Conclude:
        """Returns the next step; `now` is in monotonic seconds.

        Raises ValueError if the last hop was recorded as answered without an answer.
        """
        if self._last_result is not None:
            final = self._evaluate_last_hop(self._last_result, now)
            if final is not None:
                return final
        seconds_left = self.deadline - now
        if seconds_left < _MIN_HOP_SECONDS:
            return self._give_up("deadline", now)
        if self._offered_hops >= self._route.max_attempts:
            return self._give_up("attempt limit", now)
        # Any attempt after the first offer counts against the retry budget.
        if self._offered_hops and not self._inputs.may_retry(self.upstream, now):
            return self._give_up("retry budget", now)
        admission = self._inputs.check_breaker(self.upstream, now)
        if not admission.allowed:
            return self._give_up("breaker", now, admission.retry_after)
        selected = self._select(now)
        if selected is None:
            return self._give_up("select", now)
        queue_seconds = max(0.0, min(self._queue_end - now, seconds_left))
        return Offer(
            selected.target,
            seconds_left,
            0.0 if self._requires_free_slot else queue_seconds,
            self._arrived + self._latency_target - now,
            self._offered_hops + 1,
            selected.is_last_resort,
        )

    def _select(self, now: float) -> SelectedTarget | None:
        """Selects the next target and decides whether the hop may queue there."""
        self._requires_free_slot = self._is_nested_call and self._refused_hops < _HOPS_WITHOUT_QUEUE
        tried = self._tried | self._full_targets if self._requires_free_slot else self._tried
        selected = self._inputs.select(
            self.upstream, tried, self._route.allowed_regions, self._kilobytes, now
        )
        if selected is None and self._requires_free_slot and self._full_targets:
            # No eligible target had a free slot: queue at one of them.
            self._requires_free_slot = False
            selected = self._inputs.select(
                self.upstream, self._tried, self._route.allowed_regions, self._kilobytes, now
            )
        return selected

    def _evaluate_last_hop(self, last: HopResult, now: float) -> Conclude | None:
        """Returns the conclusion of the request, if the last hop ended it."""
        if last.outcome is HopOutcome.ANSWERED:
            answer = _answer_of(last)
            if answer.status < 500 or not self._may_send_again():
                return Conclude(answer, ANSWERED_STEP)
            return None
        if last.outcome is HopOutcome.UNKNOWN:
            if self._may_send_again():
                return None
            return self._give_up(last.step, now)
        if not self._is_replayable:
            # The body was consumed, so it cannot be sent to another target.
            return self._give_up(last.step, now)
        if last.outcome is HopOutcome.NEVER_OFFERED:
            # The queue time is used up, or too many hops were refused.
            if now >= self._queue_end or self._refused_hops >= _MAX_REFUSED_HOPS:
                return self._give_up(last.step, now)
        return None

    def _may_send_again(self) -> bool:
        return (
            self._is_repeatable
            and self._is_replayable
            and self._offered_hops < self._route.max_attempts
        )

    def _give_up(self, step: str, now: float, retry_after: float = 0.0) -> Conclude:
        last = self._last_result
        if last is not None and last.outcome is HopOutcome.ANSWERED:
            return Conclude(_answer_of(last), ANSWERED_STEP)
        if self._may_have_run:
            # The request may have run or may still be running.
            status = 504 if now >= self.deadline - _MIN_HOP_SECONDS else 502
            return Conclude(own_answer(status, f"gave up: {step}", self._attempt_id), step)
        if last is not None:
            retry_after = max(retry_after, last.retry_after)
        if step == "select":
            retry_after = max(retry_after, _NO_TARGET_RETRY_AFTER_SECONDS)
        retry_after = max(retry_after, _MIN_RETRY_AFTER_SECONDS)
        return Conclude(own_answer(503, f"not run: {step}", self._attempt_id, retry_after), step)


def _answer_of(result: HopResult) -> Answer:
    if result.answer is None:
        raise ValueError("hop result has the outcome ANSWERED but no answer")
    return result.answer
