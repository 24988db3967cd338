"""The inbound guard: the only way to the target beside this proxy.

What the rules bound at a target (leaving, evacuation, its life, its cold
seconds, its slots) is kept here, locally and exactly.
"""

import asyncio
import time

from marblefold.http_streams.target_streams import TargetStreams
from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.mate_stream import Exchange
from marblefold.inner_protocol.messages import kinds
from marblefold.node_config.reading import Address, Bounds
from marblefold.request_path.cold_limit import ColdLimit
from marblefold.request_path.local_target import LocalTarget, TargetState
from marblefold.request_path.mesh_view import MeshView
from marblefold.request_path.outcome import HopOutcome
from marblefold.request_path.slot_queue import SlotQueue
from marblefold.request_path.target_caller import TargetCaller

__all__ = ["Guard"]

# A leaving target takes what has no other place to go for this part of its
# drain time; the rest of that time is for what is then under way.
_DRAIN_SHARE = 0.4
_LEAST_SECONDS = 0.003
_REFUSED_RETRY_SECONDS = 0.1


class Guard:
    """Asks nobody else whether a hop may go to the target."""

    def __init__(self, target: LocalTarget, view: MeshView, bounds: Bounds) -> None:
        self.cold = ColdLimit()
        self.slots = SlotQueue(1)
        self.offered_count = 0
        self._target = target
        self._view = view
        self._bounds = bounds
        self._streams: TargetStreams | None = None
        self._caller: TargetCaller | None = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def in_progress(self) -> int:
        """How many hops are in this guard's hands."""
        return len(self._tasks)

    def set_address(self, address: Address) -> None:
        """The target's own address, known from the config."""
        if self._streams is not None:
            self._streams.close()
        self._streams = TargetStreams(address)
        self._caller = TargetCaller(self._streams)

    def on_hop(self, exchange: Exchange, payload: bytes) -> None:
        """A hop has come from a mate."""
        head = kinds.RequestHead.FromString(payload)
        task = asyncio.get_running_loop().create_task(self._serve(exchange, head))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        exchange.on_cancel = task.cancel

    async def _serve(self, exchange: Exchange, head) -> None:
        try:
            answer = await self._pass(exchange, head, time.monotonic())
            answer.running = self.slots.running
            answer.waiting = self.slots.waiting
            answer.slots = self.slots.limit
            # A body that followed its head was sent with it.
            if not answer.body_follows:
                exchange.send(FrameKind.ANSWER, answer.SerializeToString())
        finally:
            exchange.close()

    async def _pass(self, exchange: Exchange, head, came: float):
        refusal = self._find_refusal(head)
        if refusal is not None:
            return refusal
        deadline = came + head.deadline_left_ms / 1000.0
        longest = head.queue_left_ms / 1000.0
        if not await self.slots.take(head.priority, deadline, longest):
            return _refuse("no slot in time", max(
                _REFUSED_RETRY_SECONDS, self.slots.expected_wait))
        started = time.monotonic()
        try:
            # What held before the wait may not hold any more.
            refusal = self._find_refusal(head)
            if refusal is not None:
                return refusal
            left = deadline - started
            if left < _LEAST_SECONDS:
                return _refuse("deadline", 0.0)
            if not self.cold.may_offer(started, self._cold_most(head.upstream)):
                return _refuse("cold", self.cold.retry_after(started))
            head.deadline_left_ms = max(1, int(left * 1000))
            self.offered_count += 1
            answer = await self._caller.offer(exchange, head, left)
        finally:
            self.slots.give_back()
        self._learn(answer, started)
        return answer

    def _learn(self, answer, started: float) -> None:
        seconds = time.monotonic() - started
        answer.service_us = int(seconds * 1e6)
        if answer.outcome == HopOutcome.ANSWERED:
            self.slots.note_service(seconds)

    def _find_refusal(self, head):
        """Why the hop must not go to the target, if it must not."""
        target = self._target
        if self._caller is None or target.instance != head.expected_instance:
            return _refuse("another instance", 0.0)
        if target.upstream != head.upstream:
            return _refuse("another upstream", 0.0)
        if target.state is TargetState.DRAINING:
            # News of the drain may be on its way; others may serve meanwhile.
            share = self._bounds.drain_time.total_seconds() * _DRAIN_SHARE
            if not head.last_resort or time.monotonic() - target.drain_since > share:
                return _refuse("draining", 0.0)
        elif target.state is not TargetState.READY:
            return _refuse(target.state.value, 0.0)
        if target.zone in self._view.evacuated:
            return _refuse("evacuated", 0.0)
        if self.slots.limit != target.slots:
            self.slots.set_limit(target.slots)
        self.cold.cold_until = target.cold_until
        return None

    def _cold_most(self, upstream: str) -> float:
        table = self._view.table
        known = table.upstreams.get(upstream) if table is not None else None
        if known is None or known.coldstart_per_s <= 0:
            return 1e9
        bounds = self._bounds
        # One below the bound: the target's second may begin apart from ours.
        return max(1.0, known.coldstart_per_s * bounds.cold_overage + bounds.cold_slack - 2)


def _refuse(step: str, retry_after: float):
    return kinds.AnswerHead(
        outcome=HopOutcome.NEVER_OFFERED, step=step,
        retry_after_ms=int(retry_after * 1000),
    )
