"""The inbound guard: the only way to the target beside this proxy.

The limits of a target (shutdown, evacuation, instance, cold start, slots) are
enforced here, locally and exactly.
"""

import asyncio
import time

from marblefold import wire_names
from marblefold.http_connections.target_connection_pool import CONNECT_STEP, TargetConnectionPool
from marblefold.inner_protocol.exchange import Exchange
from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.messages import kinds
from marblefold.logs import log
from marblefold.loop_watch import LoopWatch
from marblefold.node_config.model import Address, Bounds
from marblefold.request_path.cold_start import COLD_STEP, ColdStart
from marblefold.request_path.intake import Intake
from marblefold.request_path.leaving_rule import LeavingRule
from marblefold.request_path.local_target import LocalTarget, TargetState
from marblefold.request_path.mesh_view import MeshView
from marblefold.request_path.offered_hops import OfferedHops
from marblefold.request_path.outcome import NO_SLOT, HopOutcome, refuse
from marblefold.request_path.running_work import Run, RunningWork
from marblefold.request_path.slot_queue import SlotQueue, Turn
from marblefold.request_path.target_caller import TargetCaller
from marblefold.request_path.tracers import GuardTracer
from marblefold.request_path.upstream_limits import find_slots

__all__ = ["Guard"]

# A draining target accepts hops that have no alternative for this share of its
# drain time; the rest is for the requests in progress by then.
_DRAIN_SHARE = 0.4
_LEAST_SECONDS = 0.003
# A request whose body is not received within this share of its aim is refused.
_BODY_AIM_SHARE = 0.6
_LEAST_PATIENCE = 0.3
_REFUSED_RETRY_SECONDS = 0.1
# Requests in progress and not a byte for so many seconds: check the target.
_QUIET_SECONDS = 0.35
_LOOK_SECONDS = 0.1
_SHUN_SECONDS = 0.2


class Guard:
    """Decides locally whether a hop may go to the target."""

    def __init__(
        self,
        target: LocalTarget,
        view: MeshView,
        bounds: Bounds,
        link_bytes_per_second=1e9,
    ) -> None:
        self.cold = ColdStart(target, view, bounds)
        self.slots = SlotQueue(1)
        self.work = RunningWork()
        self._target = target
        self._view = view
        self._bounds = bounds
        self._intake = Intake(link_bytes_per_second)
        self._connections: TargetConnectionPool | None = None
        self._caller: TargetCaller | None = None
        self._tasks: set[asyncio.Task] = set()
        self._offered = OfferedHops()
        self._watch = LoopWatch(_LOOK_SECONDS)
        self._unreachable_until = 0.0
        self._leaving = LeavingRule(bounds)
        # Records every hop, if this node traces.
        self.tracer: GuardTracer | None = None

    @property
    def in_progress(self) -> int:
        """How many hops this guard is serving."""
        return len(self._tasks)

    def begin_leaving(self, now: float) -> None:
        """The proxy shuts down: what is accepted must finish in time; `now`: monotonic seconds."""
        self._leaving.since = now

    def set_address(self, address: Address) -> None:
        """Sets the address of the target and closes its idle connections."""
        if self._connections is not None:
            self._connections.close()
        self._connections = TargetConnectionPool(address)
        self._caller = TargetCaller(self._connections, self.cold.note_written)

    def on_hop(self, exchange: Exchange, payload: bytes) -> None:
        """Serves a hop from a peer; google.protobuf's DecodeError if its head is malformed."""
        head = kinds.RequestHead.FromString(payload)
        task = asyncio.get_running_loop().create_task(self._serve(exchange, head, time.monotonic()))
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._note_done(done, exchange))
        exchange.on_cancel = task.cancel

    def _note_done(self, task: asyncio.Task, exchange: Exchange) -> None:
        self._tasks.discard(task)
        # A task that is cancelled before its first step does not clean up.
        exchange.close()

    async def run(self) -> None:
        """Checks forever whether the target has stopped responding."""
        while True:
            await asyncio.sleep(_LOOK_SECONDS)
            now = time.monotonic()
            self._watch.tick(now)
            # One long request proves nothing; several without a byte do.
            waiting = self._offered.count_older(now, _QUIET_SECONDS)
            connections = self._connections
            if (
                connections is None
                or waiting < 2
                or now - connections.last_received_at < _QUIET_SECONDS
            ):
                continue
            if not await connections.is_reachable():
                self._give_up_on_target(now)

    def _give_up_on_target(self, now: float) -> None:
        self._unreachable_until = time.monotonic() + _SHUN_SECONDS
        # Repeatable requests need not wait here until their deadline.
        for exchange in self._offered.repeatable_before(now):
            if exchange.on_cancel is not None:
                exchange.on_cancel()

    async def _serve(self, exchange: Exchange, head, came: float) -> None:
        tracer = self.tracer
        span = tracer.begin_serve(head) if tracer is not None and head.trace_id else None
        answer = None
        try:
            await self._watch.settle()
            answer = await self._pass(exchange, head, came, span)
            answer.running = self.slots.running
            answer.waiting = self.slots.waiting + self._intake.waiting
            answer.slots = self.slots.limit
            # A body that followed its head was sent with it.
            if not answer.body_follows:
                exchange.send(FrameKind.ANSWER, answer.SerializeToString())
        except asyncio.CancelledError:
            # Cancelled by the peer or by this guard: either way the hop is over.
            exchange.send(FrameKind.RESET)
            raise
        except Exception as error:
            # The peer must not wait for a hop that is over.
            exchange.send(FrameKind.RESET)
            log.error("hop failed", attempt=head.attempt_id, error=repr(error))
        finally:
            exchange.close()
            if tracer is not None and span is not None:
                tracer.finish_serve(span, answer, exchange.incoming.taken or len(head.body))

    async def _pass(self, exchange: Exchange, head, came: float, span):
        refusal = self._find_refusal(head)
        if refusal is not None:
            return refusal
        deadline = came + head.deadline_left_ms / 1000.0
        # By rank, then by the earliest aim: short calls, which other running
        # requests wait for, are not delayed by long ones.
        turn = Turn(head.priority, came + head.aim_left_ms / 1000.0)
        longest = head.queue_left_ms / 1000.0
        if head.body_follows and self.slots.expected_wait(turn) <= longest:
            # The body is transferred only if a slot is likely to be free in time.
            patience = max(_LEAST_PATIENCE, _BODY_AIM_SHARE * head.aim_left_ms / 1000.0)
            step = await self._intake.take(exchange, head, deadline - came, patience)
            if step:
                return refuse(step, _REFUSED_RETRY_SECONDS)
        if not await self.slots.take(turn, longest):
            wait = max(_REFUSED_RETRY_SECONDS, self.slots.expected_wait(turn))
            return refuse(NO_SLOT, wait)
        started = time.monotonic()
        run = Run(head.attempt_id, head.repeat_run or head.attempt_number > 1, span)
        if span is not None:
            span.queued = started - came
        try:
            # The state may have changed during the wait.
            refusal = self._find_refusal(head)
            caller = self._caller
            # Without a caller there is a refusal.
            if refusal is not None or caller is None:
                return refusal
            left = deadline - started
            if left < _LEAST_SECONDS:
                return refuse("deadline", 0.0)
            if not self.cold.has_room(head, started):
                return refuse(COLD_STEP, self.cold.retry_after(started))
            head.deadline_left_ms = max(1, int(left * 1000))
            self._offered.begin(exchange, started)
            self.work.begin(run)
            exchange.is_repeatable = head.route_type == wire_names.READ_ONLY
            answer = await caller.offer(exchange, head, left, lambda: self._find_obstacle(head))
        finally:
            self._offered.end(exchange)
            self.work.end(run)
            self.slots.give_back()
        return self._conclude(answer, started, time.monotonic())

    def _conclude(self, answer, started: float, now: float):
        """The answer with the time that the target took, or with when to come back."""
        if answer.step == COLD_STEP:
            return refuse(COLD_STEP, self.cold.retry_after(now))
        if answer.outcome == HopOutcome.NEVER_OFFERED:
            if answer.step == CONNECT_STEP:
                self._unreachable_until = now + _SHUN_SECONDS
            answer.retry_after_ms = int(_SHUN_SECONDS * 1000)
        answer.service_us = int((now - started) * 1e6)
        if answer.outcome == HopOutcome.ANSWERED:
            self.slots.note_service(now - started)
        return answer

    def _find_refusal(self, head):
        """The refusal of a hop that must not go to the target, or None."""
        target = self._target
        if self._caller is None or target.instance != head.expected_instance:
            return refuse("another instance", 0.0)
        if time.monotonic() < self._unreachable_until:
            return refuse("target out of reach", _SHUN_SECONDS)
        if target.upstream != head.upstream:
            return refuse("another upstream", 0.0)
        if not self._is_owner(head):
            return refuse("another owner", _REFUSED_RETRY_SECONDS)
        if target.state is TargetState.DRAINING:
            # Peers may not know of the drain yet; other targets can serve meanwhile.
            share = self._bounds.drain_time.total_seconds() * _DRAIN_SHARE
            if not head.last_resort or time.monotonic() - target.drain_since > share:
                return refuse("draining", 0.0)
        elif self._leaving.is_too_late(time.monotonic(), head.last_resort):
            return refuse("leaving", 0.0)
        elif target.state is not TargetState.READY:
            return refuse(target.state.value, 0.0)
        if target.zone in self._view.evacuated:
            return refuse("evacuated", 0.0)
        limit = find_slots(self._view, target)
        if self.slots.limit != limit:
            self.slots.set_limit(limit)
        return None

    def _find_obstacle(self, head) -> str:
        """The step that forbids the write of the hop right now, or "" after counting it."""
        if head.owner_epoch and not self._is_owner(head):
            return "another owner"
        return "" if self.cold.may_write(time.monotonic()) else COLD_STEP

    def _is_owner(self, head) -> bool:
        """Whether our site owns the service now, in the sender's epoch."""
        if not head.owner_epoch and head.upstream not in self._view.owners:
            return True
        epoch = self._view.leases.epoch(head.upstream, time.monotonic())
        return epoch != 0 and epoch == head.owner_epoch
