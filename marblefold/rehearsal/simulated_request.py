"""Simulates one request, from its arrival to its final answer."""

from typing import NamedTuple

from marblefold import wire_names
from marblefold.circuit_breaker.in_flight_tracker import Permit
from marblefold.configuration.rows import Route
from marblefold.http_connections.answer import Answer
from marblefold.rehearsal.origins import Origin
from marblefold.rehearsal.outcome_statistics import RequestOutcome
from marblefold.rehearsal.simulated_guard import SimulatedGuard
from marblefold.rehearsal.simulation_context import SimulationContext
from marblefold.request_path.decision import Conclude, Offer, RequestDecision
from marblefold.request_path.outcome import NO_SLOT, HopOutcome, HopResult
from marblefold.request_path.slot_queue import QueuePriority
from marblefold.request_path.upstream_limits import cold_rate_limit, find_cold_limits

__all__ = ["SimulatedRequest"]

_SUCCESS = Answer(200)
_REFUSED_RETRY_AFTER_SECONDS = 0.1


class _Hop(NamedTuple):
    """The current attempt; a callback that refers to an earlier one is outdated."""

    offer: Offer
    permit: Permit


class SimulatedRequest:
    """Runs the real RequestDecision for one request on the simulated clock."""

    def __init__(
        self,
        simulation: SimulationContext,
        origin: Origin,
        route: Route,
        upstream: str,
        kilobytes: float,
    ) -> None:
        self._simulation = simulation
        self._origin = origin
        self._route = route
        self._upstream = upstream
        self._is_repeatable = route.kind == wire_names.READ_ONLY
        self._arrived_at = simulation.now
        deadline = simulation.now + route.time_limit.total_seconds()
        self._decision = RequestDecision(
            route,
            upstream,
            "rehearsed",
            simulation.now,
            deadline,
            True,
            kilobytes,
            False,
            origin.routing_state,
        )
        self._deadline = deadline
        self._hop: _Hop | None = None
        self._attempts = 0
        self._reached_lost_zone = False
        self._is_slot_held = False

    def start(self) -> None:
        """Handles the arrival of the request at its origin."""
        self._simulation.active_requests[self] = None
        self._origin.routing_state.note_request(self._upstream, self._simulation.now)
        self._advance()

    def note_zone_loss(self) -> None:
        """Handles the loss of the zones while this request is in progress."""
        if self._simulation.is_lost(self._origin.zone):
            # The client lost its node and does not learn whether the request ran.
            self._reached_lost_zone = self._decision.may_have_run or self._is_slot_held
            self._end("gone", "origin lost", "")
        elif self._hop is not None and self._simulation.is_lost(self._hop.offer.target.zone):
            self._lose_hop(self._hop)

    def _advance(self) -> None:
        step = self._decision.next_step(self._simulation.now)
        if isinstance(step, Conclude):
            self._conclude(step)
            return
        routing_state = self._origin.routing_state
        self._attempts = step.attempt_number
        if step.attempt_number > 1:
            routing_state.note_retry(self._upstream, self._simulation.now)
        permit = routing_state.begin(step.target, self._decision.latency_target, "rehearsed")
        hop = self._begin_hop(step, permit)
        delay = self._simulation.delay_seconds(self._origin.zone, step.target)
        self._simulation.schedule_after(delay, lambda: self._reach_guard(hop))

    def _begin_hop(self, offer: Offer, permit: Permit) -> _Hop:
        """Makes a hop the current one; callbacks of earlier hops do nothing from now on."""
        self._hop = _Hop(offer, permit)
        return self._hop

    def _reach_guard(self, hop: _Hop) -> None:
        """Handles the arrival of a hop at the guard, unless the zone of the guard is lost."""
        if hop is not self._hop:
            return
        simulation, offer = self._simulation, hop.offer
        if simulation.is_lost(offer.target.zone):
            self._lose_hop(hop)
            return
        guard = simulation.guards[offer.target.node]
        if self._upstream in simulation.lapsed:
            self._refuse(hop, "another owner", _REFUSED_RETRY_AFTER_SECONDS)
            return
        due_at = self._arrived_at + self._route.target_latency.total_seconds()
        priority = QueuePriority(1 + max(0, self._route.priority), due_at)
        number = guard.submit(priority, offer.queue_seconds, lambda: self._start_work(hop))
        if number is None:
            self._refuse(
                hop, NO_SLOT, max(_REFUSED_RETRY_AFTER_SECONDS, guard.expected_wait(priority))
            )
        elif number >= 0:
            simulation.schedule_after(
                offer.queue_seconds, lambda: self._leave_queue(hop, guard, number)
            )

    def _leave_queue(self, hop: _Hop, guard: SimulatedGuard, number: int) -> None:
        if guard.cancel(number) and hop is self._hop:
            self._refuse(hop, NO_SLOT, _REFUSED_RETRY_AFTER_SECONDS)

    def _start_work(self, hop: _Hop) -> None:
        """Starts the request at the target, once a slot has been granted."""
        simulation, target = self._simulation, hop.offer.target
        guard = simulation.guards[target.node]
        limits = find_cold_limits(simulation.view, target.upstream)
        max_per_second = cold_rate_limit(limits, self._origin.routing_state.bounds)
        if hop is not self._hop or not guard.cold_limit.may_offer(simulation.now, max_per_second):
            # The slot is released after this call, as the guard is still granting slots.
            simulation.schedule_after(0.0, guard.release)
            if hop is self._hop:
                self._refuse(hop, "cold", guard.cold_limit.retry_after(simulation.now))
            return
        self._is_slot_held = True
        spread = simulation.config.service_time_spread
        seconds = simulation.route_service_seconds(self._route.name, self._upstream)
        seconds *= simulation.random.uniform(1 - spread, 1 + spread)
        simulation.schedule_after(seconds, lambda: self._finish(hop, guard, seconds))

    def _finish(self, hop: _Hop, guard: SimulatedGuard, seconds: float) -> None:
        """Handles the end of the request at the target, whether or not the sender still waits."""
        guard.release()
        if hop is not self._hop:
            return
        simulation, target = self._simulation, guard.target
        self._is_slot_held = False
        result = HopResult(HopOutcome.ANSWERED, _SUCCESS, load=guard.load, service_seconds=seconds)
        simulation.schedule_after(
            simulation.delay_seconds(self._origin.zone, target),
            lambda: self._receive_result(hop, result),
        )

    def _refuse(self, hop: _Hop, step: str, retry_after: float) -> None:
        simulation, target = self._simulation, hop.offer.target
        result = HopResult(
            HopOutcome.NEVER_OFFERED,
            retry_after=retry_after,
            step=step,
            load=simulation.guards[target.node].load,
        )
        simulation.schedule_after(
            simulation.delay_seconds(self._origin.zone, target),
            lambda: self._receive_result(hop, result),
        )

    def _lose_hop(self, lost: _Hop) -> None:
        """Schedules how and when the sender notices that no answer will come."""
        simulation = self._simulation
        self._is_slot_held = False
        is_first = not self._reached_lost_zone
        self._reached_lost_zone = True
        hop, target = self._begin_hop(lost.offer, lost.permit), lost.offer.target
        routing_state = self._origin.routing_state
        if simulation.now > simulation.loss_at + simulation.config.connection_loss_seconds:
            # The connection has been closed by now, and a new one cannot be opened.
            self._reached_lost_zone = not is_first
            result = HopResult(HopOutcome.NEVER_OFFERED, step="connect")
            simulation.schedule_after(
                simulation.config.connect_timeout_seconds, lambda: self._receive_result(hop, result)
            )
            return
        unresponsive_seconds = simulation.config.unresponsive_seconds
        simulation.schedule_after(
            unresponsive_seconds,
            lambda: routing_state.selector.note_unresponsive(target.peer, simulation.now),
        )
        wait = (
            unresponsive_seconds
            if self._is_repeatable
            else simulation.config.connection_loss_seconds
        )
        remaining = max(0.0, self._deadline - simulation.now)
        step = "silent" if self._is_repeatable else "connection"
        if remaining < wait:
            wait, step = remaining, "deadline"
        result = HopResult(HopOutcome.UNKNOWN, step=step)
        simulation.schedule_after(wait, lambda: self._receive_result(hop, result))

    def _receive_result(self, hop: _Hop, result: HopResult) -> None:
        """Handles the arrival of the result of a hop at the sender."""
        if hop is not self._hop or self._simulation.is_lost(self._origin.zone):
            return
        target = hop.offer.target
        self._origin.routing_state.end(target, hop.permit, result, self._decision.latency_target)
        self._decision.note(target, result)
        self._advance()

    def _conclude(self, step: Conclude) -> None:
        status = step.answer.status
        if status < 400 and self._hop is not None:
            self._end("carried", "", self._hop.offer.target.zone)
        elif status in (429, 503):
            self._end("stalled", step.step, "")
        else:
            # A read of unknown outcome counts as stalled, as it may be repeated.
            self._end("stalled" if self._is_repeatable else "unknown", step.step, "")

    def _end(self, outcome: str, step: str, zone: str) -> None:
        simulation = self._simulation
        simulation.active_requests.pop(self, None)
        self._hop = None
        phase = simulation.phase(self._arrived_at)
        if phase is None:
            return
        is_late = simulation.now - self._arrived_at > self._route.target_latency.total_seconds()
        simulation.statistics.add(
            RequestOutcome(
                self._route.name,
                self._upstream,
                zone,
                outcome,
                step,
                is_late and outcome == "carried",
                self._attempts > 1,
                self._reached_lost_zone,
            ),
            phase,
            self._is_repeatable,
        )
