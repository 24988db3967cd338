"""One request of a rehearsal, from its arrival to its final answer."""

from typing import NamedTuple

from marblefold import wire_names
from marblefold.circuit_breaker.in_flight_tracker import Permit
from marblefold.configuration.rows import Route
from marblefold.http_connections.answer import Answer
from marblefold.rehearsal.guards import RehearsedGuard
from marblefold.rehearsal.origins import Origin
from marblefold.rehearsal.stage import Stage
from marblefold.rehearsal.tally import Ending
from marblefold.request_path.decision import Conclude, Offer, RequestDecision
from marblefold.request_path.outcome import NO_SLOT, HopOutcome, HopResult
from marblefold.request_path.slot_queue import QueuePriority
from marblefold.request_path.upstream_limits import cold_rate_limit, find_cold_limits

__all__ = ["Flight"]

_DONE = Answer(200)
_REFUSED_RETRY = 0.1


class _Hop(NamedTuple):
    """The offer under way; a callback that holds an older one is stale."""

    offer: Offer
    permit: Permit


class Flight:
    """Runs the real RequestDecision on the clock of the play."""

    def __init__(
        self,
        play: Stage,
        origin: Origin,
        route: Route,
        upstream: str,
        kilobytes: float,
    ) -> None:
        self._play = play
        self._origin = origin
        self._route = route
        self._upstream = upstream
        self._is_repeatable = route.kind == wire_names.READ_ONLY
        self._arrived = play.now
        deadline = play.now + route.time_limit.total_seconds()
        self._decision = RequestDecision(
            route,
            upstream,
            "rehearsed",
            play.now,
            deadline,
            True,
            kilobytes,
            False,
            origin.routing_state,
        )
        self._deadline = deadline
        self._hop: _Hop | None = None
        self._offers = 0
        self._was_dark = False
        self._is_slot_held = False

    def begin(self) -> None:
        """The request arrives."""
        self._play.flights[self] = None
        self._origin.routing_state.note_request(self._upstream, self._play.now)
        self._step()

    def note_loss(self) -> None:
        """The lost zones were lost while this request was in progress."""
        if self._play.is_lost(self._origin.zone):
            # The client lost its node: it does not know whether the request ran.
            self._was_dark = self._decision.may_have_run or self._is_slot_held
            self._end("gone", "origin lost", "")
        elif self._hop is not None and self._play.is_lost(self._hop.offer.target.zone):
            self._go_dark(self._hop)

    def _step(self) -> None:
        step = self._decision.next_step(self._play.now)
        if isinstance(step, Conclude):
            self._conclude(step)
            return
        routing_state = self._origin.routing_state
        self._offers = step.attempt_number
        if step.attempt_number > 1:
            routing_state.note_retry(self._upstream, self._play.now)
        permit = routing_state.begin(step.target, self._decision.latency_target, "rehearsed")
        hop = self._begin_hop(step, permit)
        delay = self._play.delay(self._origin.zone, step.target)
        self._play.after(delay, lambda: self._reach(hop))

    def _begin_hop(self, offer: Offer, permit: Permit) -> _Hop:
        """Makes a hop the one under way: callbacks of earlier ones do nothing from now on."""
        self._hop = _Hop(offer, permit)
        return self._hop

    def _reach(self, hop: _Hop) -> None:
        """The hop arrives at the guard, unless its zone is lost."""
        if hop is not self._hop:
            return
        play, offer = self._play, hop.offer
        if play.is_lost(offer.target.zone):
            self._go_dark(hop)
            return
        guard = play.guards[offer.target.node]
        if self._upstream in play.lapsed:
            self._refuse(hop, "another owner", _REFUSED_RETRY)
            return
        end = self._arrived + self._route.target_latency.total_seconds()
        turn = QueuePriority(1 + max(0, self._route.priority), end)
        number = guard.take(turn, offer.queue_seconds, lambda: self._start(hop))
        if number is None:
            self._refuse(hop, NO_SLOT, max(_REFUSED_RETRY, guard.expected_wait(turn)))
        elif number >= 0:
            play.after(offer.queue_seconds, lambda: self._leave_queue(hop, guard, number))

    def _leave_queue(self, hop: _Hop, guard: RehearsedGuard, number: int) -> None:
        if guard.leave(number) and hop is self._hop:
            self._refuse(hop, NO_SLOT, _REFUSED_RETRY)

    def _start(self, hop: _Hop) -> None:
        """A slot was obtained."""
        play, target = self._play, hop.offer.target
        guard = play.guards[target.node]
        limits = find_cold_limits(play.view, target.upstream)
        most = cold_rate_limit(limits, self._origin.routing_state.bounds)
        if hop is not self._hop or not guard.cold.may_offer(play.now, most):
            # Returned after this call, as the guard is still assigning slots.
            play.after(0.0, guard.give_back)
            if hop is self._hop:
                self._refuse(hop, "cold", guard.cold.retry_after(play.now))
            return
        self._is_slot_held = True
        spread = play.config.spread
        seconds = play.work_seconds(self._route.name, self._upstream)
        seconds *= play.random.uniform(1 - spread, 1 + spread)
        play.after(seconds, lambda: self._finish(hop, guard, seconds))

    def _finish(self, hop: _Hop, guard: RehearsedGuard, seconds: float) -> None:
        """The target has finished, whether or not anybody still waits."""
        guard.give_back()
        if hop is not self._hop:
            return
        play, target = self._play, guard.target
        self._is_slot_held = False
        result = HopResult(HopOutcome.ANSWERED, _DONE, load=guard.load, service_seconds=seconds)
        play.after(play.delay(self._origin.zone, target), lambda: self._take(hop, result))

    def _refuse(self, hop: _Hop, step: str, retry_after: float) -> None:
        play, target = self._play, hop.offer.target
        result = HopResult(
            HopOutcome.NEVER_OFFERED,
            retry_after=retry_after,
            step=step,
            load=play.guards[target.node].load,
        )
        play.after(play.delay(self._origin.zone, target), lambda: self._take(hop, result))

    def _go_dark(self, lost: _Hop) -> None:
        """No answer will come: schedules how and when the sender notices."""
        play = self._play
        self._is_slot_held = False
        is_first = not self._was_dark
        self._was_dark = True
        hop, target = self._begin_hop(lost.offer, lost.permit), lost.offer.target
        routing_state = self._origin.routing_state
        if play.now > play.loss_at + play.config.unheard_seconds:
            # The connection has been closed by now and a new one cannot be opened.
            self._was_dark = not is_first
            result = HopResult(HopOutcome.NEVER_OFFERED, step="connect")
            play.after(play.config.connect_seconds, lambda: self._take(hop, result))
            return
        silent = play.config.silent_seconds
        play.after(silent, lambda: routing_state.selector.note_unresponsive(target.peer, play.now))
        wait = silent if self._is_repeatable else play.config.unheard_seconds
        left = max(0.0, self._deadline - play.now)
        step = "silent" if self._is_repeatable else "connection"
        if left < wait:
            wait, step = left, "deadline"
        result = HopResult(HopOutcome.UNKNOWN, step=step)
        play.after(wait, lambda: self._take(hop, result))

    def _take(self, hop: _Hop, result: HopResult) -> None:
        """The result of the hop arrives at the sender."""
        if hop is not self._hop or self._play.is_lost(self._origin.zone):
            return
        target = hop.offer.target
        self._origin.routing_state.end(target, hop.permit, result, self._decision.latency_target)
        self._decision.note(target, result)
        self._step()

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
        play = self._play
        play.flights.pop(self, None)
        self._hop = None
        phase = play.phase(self._arrived)
        if phase is None:
            return
        late = play.now - self._arrived > self._route.target_latency.total_seconds()
        play.tally.add(
            Ending(
                self._route.name,
                self._upstream,
                zone,
                what,
                step,
                late and what == "carried",
                self._offers > 1,
                self._was_dark,
            ),
            phase,
            self._is_repeatable,
        )
