"""Receives request bodies a few at a time, so that they do not saturate the link.

The link of a machine carries every hop to its target.  Receiving bodies concurrently
takes as long in total as receiving them in sequence and blocks all other traffic
meanwhile; in sequence, each body is complete sooner.  A body in transfer occupies no
slot: the target receives it at once when it is complete.

A body that would have to wait too long is refused before its sender sends a byte of it,
and a transfer that has begun is completed: what was received of a body that is given
up has used the link for nothing, and is sent again to another guard.
"""

import asyncio
import time

from marblefold.errors import MeshError
from marblefold.inner_protocol.exchange import Exchange
from marblefold.request_path.body_statistics import BodyResult, BodyStatistics, BodyTransfer
from marblefold.request_path.guarded_hop import GuardedHop
from marblefold.request_path.slot_queue import QueuePriority, SlotQueue

__all__ = ["LINK_FULL", "BodyReceiver"]

# The step of a hop that is refused because its body would have to wait too long.
LINK_FULL = "link full"

# The flow-control window of a body is what the link carries in this time, because other
# hops wait behind it.
_WINDOW_SECONDS = 0.05
_MIN_WINDOW_BYTES, _MAX_WINDOW_BYTES = 8 * 1024, 64 * 1024
# The time for which the windows of all bodies together may occupy the link.
_MAX_LINK_SECONDS = 0.1
_MIN_CONCURRENT_BODIES, _MAX_CONCURRENT_BODIES = 2, 64
# The initial estimate of the size of a body.
_USUAL_BODY_BYTES = 64 * 1024
# A transfer is given up if its sender sends nothing for this long.
_MAX_STALL_SECONDS = 1.0
# The allowed duration of a transfer, as a multiple of that on an otherwise idle link.
_MAX_TRANSFER_FACTOR = 8.0
_MIN_TRANSFER_LIMIT_SECONDS = 1.0
# A larger body, or one without a length, is streamed to the target.
_MAX_BUFFERED_BYTES = 512 * 1024


class BodyReceiver:
    """Limits how many bodies are received concurrently."""

    def __init__(self, link_bytes_per_second: float) -> None:
        self._link_bytes_per_second = max(1.0, link_bytes_per_second)
        self._window = int(
            max(_MIN_WINDOW_BYTES, min(_MAX_WINDOW_BYTES, link_bytes_per_second * _WINDOW_SECONDS))
        )
        max_concurrent = int(link_bytes_per_second * _MAX_LINK_SECONDS / self._window)
        max_concurrent = max(_MIN_CONCURRENT_BODIES, min(_MAX_CONCURRENT_BODIES, max_concurrent))
        self._permits = SlotQueue(
            max_concurrent, max_concurrent * _USUAL_BODY_BYTES / self._link_bytes_per_second
        )
        self.statistics = BodyStatistics(self._link_bytes_per_second)

    @property
    def unfinished(self) -> int:
        """The number of bodies in transfer or waiting for a permit."""
        return self._permits.running + self._permits.waiting

    def expected_wait(self, priority: QueuePriority) -> float:
        """The expected wait of a body until its transfer begins, in seconds."""
        return self._permits.expected_wait(priority)

    async def receive(self, hop: GuardedHop, transfer: BodyTransfer) -> str:
        """Receives the body into the hop's head; returns the step that failed, or "".

        The transfer begins within the hop's longest wait or not at all.
        """
        head, exchange = hop.head, hop.exchange
        needs_permit = not exchange.is_local
        if needs_permit and not await self._permits.acquire(hop.priority, hop.max_wait):
            transfer.result = BodyResult.REFUSED
            return LINK_FULL
        transfer.started_at = time.monotonic()
        try:
            exchange.grant_credit(self._window if needs_permit else head.body_length)
            end = min(hop.deadline, transfer.started_at + self._find_limit(head))
            body = await self._read(exchange, head, end)
        except TimeoutError:
            transfer.result = BodyResult.GIVEN_UP
            return "body too slow"
        except MeshError as error:
            return error.step
        finally:
            transfer.ended_at = time.monotonic()
            transfer.received_bytes = exchange.incoming.received_bytes
            if needs_permit:
                self._permits.release()
        if len(body) != head.body_length:
            return "body not whole"
        head.body = body
        head.body_follows = False
        if needs_permit:
            self._permits.note_service(transfer.ended_at - transfer.started_at)
        transfer.result = BodyResult.NOT_OFFERED
        return ""

    def _find_limit(self, head) -> float:
        """How long the transfer may last, in seconds."""
        usual_seconds = head.body_length / self._link_bytes_per_second
        return max(_MIN_TRANSFER_LIMIT_SECONDS, _MAX_TRANSFER_FACTOR * usual_seconds)

    async def _read(self, exchange: Exchange, head, end: float) -> bytes:
        """Reads the body; TimeoutError if it stalls or is not complete at `end`.

        `end` is in monotonic seconds.
        """
        loop = asyncio.get_running_loop()
        chunks = [head.body]
        async with asyncio.timeout(None) as timer:
            while True:
                remaining = min(_MAX_STALL_SECONDS, end - time.monotonic())
                timer.reschedule(loop.time() + remaining)
                chunk = await exchange.incoming.read()
                if not chunk:
                    return b"".join(chunks)
                chunks.append(chunk)

    def is_streamed(self, head) -> bool:
        """Whether the body is passed on to the target while it arrives."""
        return not 0 <= head.body_length <= _MAX_BUFFERED_BYTES

    def begin_stream(self, exchange: Exchange) -> None:
        """Grants the sender of a streamed body its first credit."""
        exchange.grant_credit(self._window)
