"""Detects that the event loop was stalled, and lets it catch up before work begins.

After a stall, requests and their cancellations wait in the sockets together.  The
loop may read a request first; it must not be begun before its cancellation could
be read too.
"""

import asyncio
import time

__all__ = ["StallDetector"]

# A tick that is later than so many periods means that the loop was stalled.
_LATE_PERIODS = 2.0
# For so many seconds after a stall, sockets may hold old cancellations.
_CATCH_UP_SECONDS = 0.1
# Iterations of the loop that read what follows a request in its socket.
_TURNS = 3


class StallDetector:
    """Ticked once every period; consulted before work is begun."""

    def __init__(self, period: float) -> None:
        """The period is that of the ticks, in seconds."""
        self._period = period
        self._ticked_at: float | None = None
        self._catches_up_until = 0.0

    def tick(self, now: float) -> None:
        """The loop is running; all times are seconds of the monotonic clock."""
        if self._is_late(now):
            self._catches_up_until = now + _CATCH_UP_SECONDS
        self._ticked_at = now

    def is_catching_up(self, now: float) -> bool:
        """Whether sockets may hold what arrived while the loop was stalled."""
        return self._is_late(now) or now < self._catches_up_until

    async def catch_up(self) -> None:
        """Lets the loop read its sockets, if it was stalled recently."""
        if self.is_catching_up(time.monotonic()):
            for _turn in range(_TURNS):
                await asyncio.sleep(0)

    def _is_late(self, now: float) -> bool:
        if self._ticked_at is None:
            return False
        return now - self._ticked_at > _LATE_PERIODS * self._period
