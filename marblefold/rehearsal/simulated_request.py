"""One request of a rehearsal, from its arrival to its final answer."""

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

_DONE = Answer(200)
_REFUSED_RETRY = 0.1


class _Hop(NamedTuple):
    """The offer under way; a callback that holds an older one is stale."""

    offer: Offer
    permit: Permit


class SimulatedRequest:
    """Runs the real RequestDecision on the clock of the simulation."""

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
        self._arrived = simulation.now
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
        self._offers = 0
        self._reached_lost_zone = False
        self._is_slot_held = False

    def start(self) -> None:
        """The request arrives."""
        self._simulation.active_requests[self] = None
        self._origin.routing_state.note_request(self._upstream, self._simulation.now)
        self._advance()

    def note_zone_loss(self) -> None:
        """The lost zones were lost while this request was in progress."""
        if self._simulation.is_lost(self._origin.zone):
            # The client lost its node: it does not know whether the request ran.
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
        self._offers = step.attempt_number
        if step.attempt_number > 1:
            routing_state.note_retry(self._upstream, self._simulation.now)
        permit = routing_state.begin(step.target, self._decision.latency_target, "rehearsed")
        hop = self._begin_hop(step, permit)
        delay = self._simulation.delay_seconds(self._origin.zone, step.target)
        self._simulation.schedule_after(delay, lambda: self._reach_guard(hop))

    def _begin_hop(self, offer: Offer, permit: Permit) -> _Hop:
        """Makes a hop the one under way: callbacks of earlier ones do nothing from now on."""
        self._hop = _Hop(offer, permit)
        return self._hop

    def _reach_guard(self, hop: _Hop) -> None:
        """The hop arrives at the guard, unless its zone is lost."""
        if hop is not self._hop:
            return
        simulation, offer = self._simulation, hop.offer
        if simulation.is_lost(offer.target.zone):
            self._lose_hop(hop)
            return
        guard = simulation.guards[offer.target.node]
        if self._upstream in simulation.lapsed:
            self._refuse(hop, "another owner", _REFUSED_RETRY)
            return
        end = self._arrived + self._route.target_latency.total_seconds()
        priority = QueuePriority(1 + max(0, self._route.priority), end)
        number = guard.submit(priority, offer.queue_seconds, lambda: self._start_work(hop))
        if number is None:
            self._refuse(hop, NO_SLOT, max(_REFUSED_RETRY, guard.expected_wait(priority)))
        elif number >= 0:
            simulation.schedule_after(
                offer.queue_seconds, lambda: self._leave_queue(hop, guard, number)
            )

    def _leave_queue(self, hop: _Hop, guard: SimulatedGuard, number: int) -> None:
        if guard.cancel(number) and hop is self._hop:
            self._refuse(hop, NO_SLOT, _REFUSED_RETRY)

    def _start_work(self, hop: _Hop) -> None:
        """A slot was obtained."""
        simulation, target = self._simulation, hop.offer.target
        guard = simulation.guards[target.node]
        limits = find_cold_limits(simulation.view, target.upstream)
        most = cold_rate_limit(limits, self._origin.routing_state.bounds)
        if hop is not self._hop or not guard.cold.may_offer(simulation.now, most):
            # Returned after this call, as the guard is still assigning slots.
            simulation.schedule_after(0.0, guard.release)
            if hop is self._hop:
                self._refuse(hop, "cold", guard.cold.retry_after(simulation.now))
            return
        self._is_slot_held = True
        spread = simulation.config.service_time_spread
        seconds = simulation.route_service_seconds(self._route.name, self._upstream)
        seconds *= simulation.random.uniform(1 - spread, 1 + spread)
        simulation.schedule_after(seconds, lambda: self._finish(hop, guard, seconds))

    def _finish(self, hop: _Hop, guard: SimulatedGuard, seconds: float) -> None:
        """The target has finished, whether or not anybody still waits."""
        guard.release()
        if hop is not self._hop:
            return
        simulation, target = self._simulation, guard.target
        self._is_slot_held = False
        result = HopResult(HopOutcome.ANSWERED, _DONE, load=guard.load, service_seconds=seconds)
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
        """No answer will come: schedules how and when the sender notices."""
        simulation = self._simulation
        self._is_slot_held = False
        is_first = not self._reached_lost_zone
        self._reached_lost_zone = True
        hop, target = self._begin_hop(lost.offer, lost.permit), lost.offer.target
        routing_state = self._origin.routing_state
        if simulation.now > simulation.loss_at + simulation.config.connection_loss_seconds:
            # The connection has been closed by now and a new one cannot be opened.
            self._reached_lost_zone = not is_first
            result = HopResult(HopOutcome.NEVER_OFFERED, step="connect")
            simulation.schedule_after(
                simulation.config.connect_timeout_seconds, lambda: self._receive_result(hop, result)
            )
            return
        silent = simulation.config.unresponsive_seconds
        simulation.schedule_after(
            silent, lambda: routing_state.selector.note_unresponsive(target.peer, simulation.now)
        )
        wait = silent if self._is_repeatable else simulation.config.connection_loss_seconds
        left = max(0.0, self._deadline - simulation.now)
        step = "silent" if self._is_repeatable else "connection"
        if left < wait:
            wait, step = left, "deadline"
        result = HopResult(HopOutcome.UNKNOWN, step=step)
        simulation.schedule_after(wait, lambda: self._receive_result(hop, result))

    def _receive_result(self, hop: _Hop, result: HopResult) -> None:
        """The result of the hop arrives at the sender."""
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
            # A read of unknown outcome counts as stalled: it may be repeated.
            self._end("stalled" if self._is_repeatable else "unknown", step.step, "")

    def _end(self, what: str, step: str, zone: str) -> None:
        simulation = self._simulation
        simulation.active_requests.pop(self, None)
        self._hop = None
        phase = simulation.phase(self._arrived)
        if phase is None:
            return
        late = simulation.now - self._arrived > self._route.target_latency.total_seconds()
        simulation.statistics.add(
            RequestOutcome(
                self._route.name,
                self._upstream,
                zone,
                what,
                step,
                late and what == "carried",
                self._offers > 1,
                self._reached_lost_zone,
            ),
            phase,
            self._is_repeatable,
        )
