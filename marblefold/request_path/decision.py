"""Decides, step by step, how one request is handled.

The executor carries out each decision: nothing here waits or sends.
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

__all__ = ["Conclude", "DecisionInputs", "Offer", "RequestDecision"]

# Less time than this is not worth a hop.
_LEAST_SECONDS = 0.004
# A request that was not offered within this share of its latency aim is refused,
# so that the client can retry in time; the rest of the aim is left for the hop.
_QUEUE_AIM_SHARE = 0.2
# If a call made by a running request fails, that request fails too and is not
# retried: such a call may wait for this share of the time it has left.
_QUEUE_CALL_SHARE = 0.6
# A hop refused by a guard costs little, but the search must end.
_MOST_REFUSED_HOPS = 4
# One of hundreds of nodes uses a given target only once in many seconds, so its
# figures of the load there are old; the guard's are exact. A call made by a running
# request holds a slot elsewhere while it waits: its first hops ask for a slot that
# is free now, and only the next one joins a queue.
_HOPS_WITHOUT_QUEUE = 2
_RETRY_WHEN_NO_TARGET = 0.25
_RETRY_AT_LEAST = 0.05


class Offer(NamedTuple):
    """Send a hop to this target; times are in seconds."""

    target: KnownTarget
    seconds_left: float
    queue_seconds: float
    latency_target_seconds: float
    attempt_number: int
    is_last_resort: bool


class Conclude(NamedTuple):
    """Give this answer; the request is over."""

    answer: Answer
    step: str


class DecisionInputs(Protocol):
    """What a decision reads from its routing_state; times are monotonic seconds."""

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
            _QUEUE_CALL_SHARE * (deadline - arrived)
            if is_nested_call
            else _QUEUE_AIM_SHARE * self._latency_target
        )
        self._is_nested_call = is_nested_call
        self._is_repeatable = route.kind == wire_names.READ_ONLY
        self._is_replayable = is_replayable
        self._kilobytes = kilobytes
        self._offered = 0
        self._refused_hops = 0
        self._tried: set[str] = set()
        # Targets that had no free slot when asked; a hop may still queue at each.
        self._asked: set[str] = set()
        self._is_asking = False
        self._may_have_run = False
        self._last: HopResult | None = None

    @property
    def latency_target(self) -> float:
        """The latency aim in seconds; elapsed times are divided by it to be compared."""
        return self._latency_target

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have begun to process the request."""
        return self._may_have_run

    def note(self, target: KnownTarget, result: HopResult) -> None:
        """Records how a hop ended."""
        self._last = result
        is_merely_full = self._is_asking and result.step == NO_SLOT
        (self._asked if is_merely_full else self._tried).add(target.instance)
        if result.outcome is HopOutcome.NEVER_OFFERED:
            self._refused_hops += 1
            return
        self._offered += 1
        if result.outcome is not HopOutcome.NOT_EXECUTED:
            self._may_have_run = True

    def next_step(self, now: float) -> Offer | Conclude:
        """The next step; `now` is in monotonic seconds.

        Raises ValueError if the last hop was recorded as answered without an answer.
        """
        if self._last is not None:
            final = self._judge_last(self._last, now)
            if final is not None:
                return final
        left = self.deadline - now
        if left < _LEAST_SECONDS:
            return self._give_up("deadline", now)
        if self._offered >= self._route.max_attempts:
            return self._give_up("attempt limit", now)
        # A repeat after an offer counts against the shared budget.
        if self._offered and not self._inputs.may_retry(self.upstream, now):
            return self._give_up("retry budget", now)
        admission = self._inputs.check_breaker(self.upstream, now)
        if not admission.allowed:
            return self._give_up("breaker", now, admission.retry_after)
        selected = self._select(now)
        if selected is None:
            return self._give_up("select", now)
        queue = max(0.0, min(self._queue_end - now, left))
        return Offer(
            selected.target,
            left,
            0.0 if self._is_asking else queue,
            self._arrived + self._latency_target - now,
            self._offered + 1,
            selected.is_last_resort,
        )

    def _select(self, now: float) -> SelectedTarget | None:
        """Selects the next target and decides whether the hop may queue there."""
        self._is_asking = self._is_nested_call and self._refused_hops < _HOPS_WITHOUT_QUEUE
        tried = self._tried | self._asked if self._is_asking else self._tried
        selected = self._inputs.select(
            self.upstream, tried, self._route.allowed_regions, self._kilobytes, now
        )
        if selected is None and self._is_asking and self._asked:
            # All eligible targets were asked for a free slot: queue at one of them.
            self._is_asking = False
            selected = self._inputs.select(
                self.upstream, self._tried, self._route.allowed_regions, self._kilobytes, now
            )
        return selected

    def _judge_last(self, last: HopResult, now: float) -> Conclude | None:
        """The conclusion of the request, if the last hop ended it."""
        if last.outcome is HopOutcome.ANSWERED:
            answer = _answer_of(last)
            if answer.status < 500 or not self._may_go_on():
                return Conclude(answer, "answered")
            return None
        if last.outcome is HopOutcome.UNKNOWN:
            if self._may_go_on():
                return None
            return self._give_up(last.step, now)
        if not self._is_replayable:
            # The body was consumed: it cannot be sent to another target.
            return self._give_up(last.step, now)
        if last.outcome is HopOutcome.NEVER_OFFERED:
            # It waited long enough, or was refused often enough.
            if now >= self._queue_end or self._refused_hops >= _MOST_REFUSED_HOPS:
                return self._give_up(last.step, now)
        return None

    def _may_go_on(self) -> bool:
        return (
            self._is_repeatable and self._is_replayable and self._offered < self._route.max_attempts
        )

    def _give_up(self, step: str, now: float, retry_after: float = 0.0) -> Conclude:
        last = self._last
        if last is not None and last.outcome is HopOutcome.ANSWERED:
            return Conclude(_answer_of(last), "answered")
        if self._may_have_run:
            # It may have run, or may still be running: neither can be ruled out.
            status = 504 if now >= self.deadline - _LEAST_SECONDS else 502
            return Conclude(own_answer(status, f"gave up: {step}", self._attempt_id), step)
        if last is not None:
            retry_after = max(retry_after, last.retry_after)
        if step == "select":
            retry_after = max(retry_after, _RETRY_WHEN_NO_TARGET)
        retry_after = max(retry_after, _RETRY_AT_LEAST)
        return Conclude(own_answer(503, f"not run: {step}", self._attempt_id, retry_after), step)


def _answer_of(result: HopResult) -> Answer:
    if result.answer is None:
        raise ValueError("a hop ended as answered, but without an answer")
    return result.answer
