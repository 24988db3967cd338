"""Detects a stalled event loop and lets it catch up before new work starts.

After a stall, requests and their cancellations wait in the sockets together.  The
loop may read a request first; its execution must not start before its cancellation
could be read too.
"""

import asyncio
import time

__all__ = ["EventLoopMonitor"]

# The loop was stalled if the time since the last tick exceeds this many periods.
_STALL_THRESHOLD_PERIODS = 2.0
# Sockets may hold old cancellations for this long after a stall.
_CATCH_UP_SECONDS = 0.1
# Loop iterations needed to read what follows a request in its socket.
_CATCH_UP_ITERATIONS = 3


class EventLoopMonitor:
    """Receives a tick every period and is consulted before work starts."""

    def __init__(self, period: float) -> None:
        """Expects a tick every `period` seconds."""
        self._period = period
        self._ticked_at: float | None = None
        self._catching_up_until = 0.0

    def tick(self, now: float) -> None:
        """Records that the loop is running; all times are seconds of the monotonic clock."""
        if self._is_late(now):
            self._catching_up_until = now + _CATCH_UP_SECONDS
        self._ticked_at = now

    def is_catching_up(self, now: float) -> bool:
        """Whether sockets may hold data that arrived while the loop was stalled."""
        return self._is_late(now) or now < self._catching_up_until

    async def catch_up(self) -> None:
        """Lets the loop read its sockets if it was stalled recently."""
        if self.is_catching_up(time.monotonic()):
            for _iteration in range(_CATCH_UP_ITERATIONS):
                await asyncio.sleep(0)

    def _is_late(self, now: float) -> bool:
        if self._ticked_at is None:
            return False
        return now - self._ticked_at > _STALL_THRESHOLD_PERIODS * self._period
