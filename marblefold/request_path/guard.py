"""The inbound guard, through which every request to the local target passes.

It enforces the limits of the target (shutdown, evacuation, instance, cold start, slots)
from local state, exactly and without a call to another node.
"""

import asyncio
import time

from marblefold import wire_names
from marblefold.event_loop_monitor import EventLoopMonitor
from marblefold.http_connections.target_connection_pool import CONNECT_STEP, TargetConnectionPool
from marblefold.inner_protocol.exchange import Exchange
from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.logs import log
from marblefold.node_config.model import Address, Bounds
from marblefold.request_path.body_receiver import BodyReceiver
from marblefold.request_path.body_statistics import BodyResult, BodyStatistics, BodyTransfer
from marblefold.request_path.cold_start import COLD_STEP, ColdStartLimiter
from marblefold.request_path.guarded_hop import GuardedHop
from marblefold.request_path.hop_admission import (
    REFUSED_RETRY_SECONDS,
    UNREACHABLE_RETRY_SECONDS,
    HopAdmission,
)
from marblefold.request_path.local_target import LocalTarget
from marblefold.request_path.mesh_view import MeshView
from marblefold.request_path.offered_hops import OfferedHops
from marblefold.request_path.outcome import NO_SLOT, HopOutcome, make_refusal
from marblefold.request_path.running_requests import RunningRequest, RunningRequests
from marblefold.request_path.slot_queue import SlotQueue
from marblefold.request_path.target_caller import TargetCaller
from marblefold.request_path.tracers import GuardTracer
from marblefold.request_path.upstream_limits import find_slot_limit

__all__ = ["Guard"]

_MIN_OFFER_SECONDS = 0.003
# If requests are in progress and no byte arrives for this long, the target is checked.
_SILENCE_SECONDS = 0.35
_CHECK_INTERVAL_SECONDS = 0.1


class Guard:
    """Decides from local state whether a hop may be forwarded to the target."""

    def __init__(
        self,
        target: LocalTarget,
        view: MeshView,
        bounds: Bounds,
        link_bytes_per_second=1e9,
    ) -> None:
        self.cold = ColdStartLimiter(target, view, bounds)
        self.admission = HopAdmission(target, view, bounds, self.cold)
        self.slots = SlotQueue(1)
        self.running_requests = RunningRequests()
        self._target = target
        self._view = view
        self._body_receiver = BodyReceiver(link_bytes_per_second)
        self._connections: TargetConnectionPool | None = None
        self._caller: TargetCaller | None = None
        self._tasks: set[asyncio.Task] = set()
        self._offered_hops = OfferedHops()
        self._loop_monitor = EventLoopMonitor(_CHECK_INTERVAL_SECONDS)
        # Records every hop if tracing is enabled on this node.
        self.tracer: GuardTracer | None = None

    @property
    def in_progress(self) -> int:
        """The number of hops being served."""
        return len(self._tasks)

    @property
    def body_statistics(self) -> BodyStatistics:
        """The counts of bodies that peers sent here."""
        return self._body_receiver.statistics

    def set_address(self, address: Address) -> None:
        """Sets the address of the target and closes the idle connections to the previous one."""
        if self._connections is not None:
            self._connections.close()
        self._connections = TargetConnectionPool(address)
        self._caller = TargetCaller(self._connections, self.cold.note_written)

    def on_hop(self, exchange: Exchange, payload: bytes) -> None:
        """Serves a hop from a peer.

        Raises google.protobuf's DecodeError if its head is malformed.
        """
        head = messages_pb2.RequestHead.FromString(payload)
        task = asyncio.get_running_loop().create_task(self._serve(exchange, head, time.monotonic()))
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._on_task_done(done, exchange))
        exchange.on_cancel = task.cancel

    def _on_task_done(self, task: asyncio.Task, exchange: Exchange) -> None:
        self._tasks.discard(task)
        # A task cancelled before its first step never runs its `finally` block.
        exchange.close()

    async def run(self) -> None:
        """Detects a target that has stopped responding; runs forever."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)
            now = time.monotonic()
            self._loop_monitor.tick(now)
            # A single request may just be slow; several without any byte indicate a failure.
            waiting = self._offered_hops.count_older(now, _SILENCE_SECONDS)
            connections = self._connections
            if connections is not None:
                connections.close_stale()
            if (
                connections is None
                or waiting < 2
                or now - connections.last_received_at < _SILENCE_SECONDS
            ):
                continue
            if not await connections.is_reachable():
                self._mark_unreachable(now)

    def _mark_unreachable(self, now: float) -> None:
        self.admission.note_unreachable(time.monotonic())
        # Repeatable requests are cancelled now, so that their senders can retry them
        # elsewhere instead of waiting for the deadline.
        for exchange in self._offered_hops.repeatable_before(now):
            if exchange.on_cancel is not None:
                exchange.on_cancel()

    async def _serve(self, exchange: Exchange, head, arrived_at: float) -> None:
        tracer = self.tracer
        span = tracer.begin_serve(head) if tracer is not None and head.trace_id else None
        answer = None
        try:
            await self._loop_monitor.catch_up()
            answer = await self._admit_and_offer(GuardedHop(exchange, head, arrived_at, span))
            answer.running = self.slots.running
            answer.waiting = self.slots.waiting + self._body_receiver.unfinished
            answer.slots = self.slots.limit
            # An answer whose body was streamed has already been sent with its head.
            if not answer.body_follows:
                exchange.send(FrameKind.ANSWER, answer.SerializeToString())
        except asyncio.CancelledError:
            # Cancelled by the peer or by this guard; the hop has ended in both cases.
            exchange.send(FrameKind.RESET)
            raise
        except Exception as error:
            # Resets the hop so that the peer does not wait for it.
            exchange.send(FrameKind.RESET)
            log.error("hop failed", attempt=head.attempt_id, error=repr(error))
        finally:
            exchange.close()
            if tracer is not None and span is not None:
                tracer.finish_serve(
                    span, answer, exchange.incoming.received_bytes or len(head.body)
                )

    async def _admit_and_offer(self, hop: GuardedHop):
        refusal = self._find_refusal(hop.head)
        if refusal is not None:
            return refusal
        # A body is received only if its request can be offered as far as is known now.
        if not hop.head.body_follows or self.slots.expected_wait(hop.priority) > hop.max_wait:
            return await self._queue_and_offer(hop, hop.max_wait)
        if self._body_receiver.is_streamed(hop.head):
            self._body_receiver.begin_stream(hop.exchange)
            return await self._queue_and_offer(hop, hop.max_wait)
        if not self.cold.has_room(hop.head, hop.arrived_at):
            return make_refusal(COLD_STEP, self.cold.retry_after(hop.arrived_at))
        return await self._receive_and_offer(hop)

    async def _receive_and_offer(self, hop: GuardedHop):
        """Receives the body of the hop and offers it to the target."""
        receiver = self._body_receiver
        transfer = BodyTransfer(hop.arrived_at)
        try:
            step = await receiver.receive(hop, transfer)
            if step:
                wait = max(REFUSED_RETRY_SECONDS, receiver.expected_wait(hop.priority))
                return make_refusal(step, wait)
            # The transfer would be in vain if the request were refused now.
            due_in = hop.priority.due_at - self.slots.service_seconds - time.monotonic()
            answer = await self._queue_and_offer(hop, max(hop.max_wait, due_in))
            if answer.outcome != HopOutcome.NEVER_OFFERED:
                transfer.result = BodyResult.OFFERED
            return answer
        finally:
            receiver.statistics.count(transfer)

    async def _queue_and_offer(self, hop: GuardedHop, max_wait: float):
        """Waits for a slot up to `max_wait` seconds and offers the hop to the target."""
        if not await self.slots.acquire(hop.priority, max_wait):
            wait = max(REFUSED_RETRY_SECONDS, self.slots.expected_wait(hop.priority))
            return make_refusal(NO_SLOT, wait)
        started = time.monotonic()
        head, exchange, span = hop.head, hop.exchange, hop.span
        run = RunningRequest(head.attempt_id, head.repeat_run or head.attempt_number > 1, span)
        if span is not None:
            span.queued_seconds = started - hop.arrived_at
        try:
            # The state may have changed while the request was queued.
            refusal = self._find_refusal(head)
            caller = self._caller
            # `_find_refusal` refuses every hop as long as there is no caller.
            if refusal is not None or caller is None:
                return refusal
            remaining = hop.deadline - started
            if remaining < _MIN_OFFER_SECONDS:
                return make_refusal("deadline", 0.0)
            if not self.cold.has_room(head, started):
                return make_refusal(COLD_STEP, self.cold.retry_after(started))
            head.deadline_left_ms = max(1, int(remaining * 1000))
            self._offered_hops.begin(exchange, started)
            self.running_requests.begin(run)
            exchange.is_repeatable = head.route_type == wire_names.READ_ONLY
            answer = await caller.offer(
                exchange, head, remaining, lambda: self.admission.find_obstacle(head)
            )
        finally:
            self._offered_hops.end(exchange)
            self.running_requests.end(run)
            self.slots.release()
        return self._complete_answer(answer, started, time.monotonic())

    def _complete_answer(self, answer, started: float, now: float):
        """Adds the service time to the answer of a hop, or the retry delay to a refusal."""
        if answer.step == COLD_STEP:
            return make_refusal(COLD_STEP, self.cold.retry_after(now))
        if answer.outcome == HopOutcome.NEVER_OFFERED:
            if answer.step == CONNECT_STEP:
                self.admission.note_unreachable(now)
            answer.retry_after_ms = int(UNREACHABLE_RETRY_SECONDS * 1000)
        answer.service_us = int((now - started) * 1e6)
        if answer.outcome == HopOutcome.ANSWERED:
            self.slots.note_service(now - started)
        return answer

    def _find_refusal(self, head):
        """Returns the refusal of a hop that must not go to the target, or None."""
        if self._caller is None:
            return make_refusal("another instance", 0.0)
        refusal = self.admission.find_refusal(head)
        limit = find_slot_limit(self._view, self._target)
        if refusal is None and self.slots.limit != limit:
            self.slots.set_limit(limit)
        return refusal
