"""The state shared by all requests of a proxy: view, breakers, retry budgets, selector."""

import time
from collections.abc import Callable, Collection
from datetime import timedelta

from marblefold.circuit_breaker.breaker import Admission, Breaker
from marblefold.circuit_breaker.concurrency_limit import ConcurrencyLimiter, ConcurrencyLimits
from marblefold.circuit_breaker.in_flight_tracker import Permit
from marblefold.logs import log
from marblefold.node_config.reading import Bounds, Limits
from marblefold.request_path.mesh_view import KnownTarget, MeshView
from marblefold.request_path.outcome import HopOutcome, HopResult
from marblefold.request_path.retry_budget import RetryBudget
from marblefold.request_path.target_selection import SelectedTarget, TargetSelector
from marblefold.request_path.traffic_count import TrafficCount

__all__ = ["RoutingState"]

# The longest time for which a target is avoided after its guard refused a hop.
_MAX_REFUSING_SECONDS = 0.2
# On average a request uses at most two descriptors, and a share of the memory that
# the program itself does not need.
_DESCRIPTORS_PER_REQUEST = 2
_RESERVED_DESCRIPTORS = 214
_MEMORY_SHARE = 0.5
_MEMORY_MB_PER_REQUEST = 0.15


class RoutingState:
    """Provides the inputs of decisions and records the results of hops.

    All times are monotonic seconds.
    """

    def __init__(
        self,
        view: MeshView,
        selector: TargetSelector,
        bounds: Bounds,
        limits: Limits,
        clock: Callable[[], float] | None = None,
        log_event: Callable = log.warning,
    ) -> None:
        # A rehearsal passes its own clock, and a log function that writes nothing.
        # The default clock is looked up here and not at import: if time.monotonic is
        # replaced later, records would be written by one clock and read by another.
        self._clock = clock or time.monotonic
        self._log_event = log_event
        self.traffic = TrafficCount()
        self.view = view
        self.selector = selector
        self.concurrency = ConcurrencyLimiter(ConcurrencyLimits(_count_resources(limits)))
        self.bounds = bounds
        self._breakers: dict[str, Breaker] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._answer_kilobytes: dict[str, float] = {}

    def select(
        self,
        upstream: str,
        tried: Collection[str],
        allowed_regions: Collection[str] | None,
        kilobytes: float,
        now: float,
    ) -> SelectedTarget | None:
        """Returns the target for the next hop, or None if none is eligible."""
        return self.selector.select(upstream, tried, allowed_regions, kilobytes, now)

    def check_breaker(self, upstream: str, now: float) -> Admission:
        """Decides whether the breaker admits one more call to the upstream."""
        breaker = self.breaker(upstream)
        state = breaker.state
        admission = breaker.admit(now)
        if breaker.state is not state:
            self._log_event(
                "breaker",
                upstream=upstream,
                state=breaker.state.value,
                outstanding=breaker.in_flight,
                threshold=breaker.threshold,
            )
        return admission

    def may_retry(self, upstream: str, now: float) -> bool:
        """Whether a retry is within this proxy's share of the retry budget."""
        # A large number is assumed until the number of proxies is known.
        proxies = self.view.proxies or 1000
        return self._budget(upstream).may_retry(now, proxies)

    def note_request(self, upstream: str, now: float) -> None:
        """Records that a request for the upstream arrived."""
        self._budget(upstream).note_request(now)

    def note_retry(self, upstream: str, now: float) -> None:
        """Records a retry."""
        self._budget(upstream).note_retry(now)

    def begin(self, target: KnownTarget, latency_target: float, label: str) -> Permit:
        """Records that a hop was sent."""
        self.selector.begin(target)
        return self.breaker(target.upstream).begin(self._clock(), latency_target, label)

    def end(
        self, target: KnownTarget, permit: Permit, result: HopResult, latency_target: float
    ) -> None:
        """Records that a hop ended."""
        now = self._clock()
        selector = self.selector
        selector.end(target)
        answered = result.outcome is HopOutcome.ANSWERED
        status = result.answer.status if result.answer is not None else 0
        success = answered and 0 < status < 400
        # Errors and refusals are not representative of normal latency.
        self.breaker(target.upstream).end(permit, now, success)
        if result.load is not None:
            selector.note_load(target, result.load, now)
        if success:
            selector.note_latency(target, result.service_seconds / latency_target, now)
        elif (
            result.outcome is HopOutcome.NEVER_OFFERED
            and result.load is None
            or result.outcome is HopOutcome.UNKNOWN
            and result.step in ("connection", "deadline")
        ):
            selector.note_error(target, now)
        elif result.outcome is HopOutcome.NEVER_OFFERED:
            # A guard that refuses hops usually does so for a while.
            pause = min(_MAX_REFUSING_SECONDS, result.retry_after or _MAX_REFUSING_SECONDS)
            selector.note_refusal(target, now + pause)
        elif not answered or status >= 500:
            # The target fails requests, whatever its health check returns.
            selector.note_failure(target, now)

    def forget_unused(self) -> None:
        """Forgets the load of routes that have had no requests lately."""
        self.concurrency.forget_unused(time.monotonic())

    def log_overdue(self, max_age: timedelta) -> None:
        """Logs the calls that have been in flight for longer than `max_age`."""
        now = time.monotonic()
        for upstream, breaker in self._breakers.items():
            for permit in breaker.overdue(now, max_age.total_seconds()):
                log.warning(
                    "overdue",
                    upstream=upstream,
                    attempt=permit.label,
                    seconds=round(now - permit.started, 1),
                )

    def answer_kilobytes(self, route: str) -> float:
        """Returns the recent mean size of the route's answers, in kilobytes."""
        return self._answer_kilobytes.get(route, 1.0)

    def note_answer(self, route: str, kilobytes: float) -> None:
        """Records the size of an answer of the route, in kilobytes."""
        mean = self._answer_kilobytes.get(route, kilobytes)
        self._answer_kilobytes[route] = mean + 0.05 * (kilobytes - mean)

    def breaker(self, upstream: str) -> Breaker:
        """Returns the breaker of the upstream."""
        breaker = self._breakers.get(upstream)
        if breaker is None:
            breaker = self._breakers[upstream] = Breaker()
        return breaker

    def _budget(self, upstream: str) -> RetryBudget:
        budget = self._budgets.get(upstream)
        if budget is None:
            budget = self._budgets[upstream] = RetryBudget(
                self.bounds.retry_ratio, self.bounds.retry_window, self.bounds.retry_slack
            )
        return budget


def _count_resources(limits: Limits) -> int:
    """Returns how many requests this process has resources for at once."""
    by_descriptors = (limits.file_descriptors - _RESERVED_DESCRIPTORS) // _DESCRIPTORS_PER_REQUEST
    by_memory = int(limits.memory_mb * _MEMORY_SHARE / _MEMORY_MB_PER_REQUEST)
    return max(16, min(by_descriptors, by_memory))
