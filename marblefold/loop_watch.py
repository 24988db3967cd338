"""Notices that the event loop stood still, and lets it catch up before work begins.

After a freeze, requests and the news that nobody waits for them any more lie
side by side in the sockets.  The loop reads the former first; what was given
up meanwhile must not be begun before the latter is read too.
"""

import asyncio
import time

__all__ = ["LoopWatch"]

# A tick that is later than so many periods means that the loop stood still.
_LATE_PERIODS = 2.0
# For so long after it has begun to turn again, sockets may hold old news.
_CATCH_UP_SECONDS = 0.1
# Turns of the loop that read what is behind a request in its socket.
_TURNS = 3


class LoopWatch:
    """Told at every period that the loop turns; asked before work is begun."""

    def __init__(self, period: float) -> None:
        """The period is that of the ticks, in seconds."""
        self._period = period
        self._ticked_at: float | None = None
        self._catches_up_until = 0.0

    def tick(self, now: float) -> None:
        """The loop turns; all times are seconds of the steady clock."""
        if self._is_late(now):
            self._catches_up_until = now + _CATCH_UP_SECONDS
        self._ticked_at = now

    def is_catching_up(self, now: float) -> bool:
        """Whether sockets may hold what came while the loop stood still."""
        return self._is_late(now) or now < self._catches_up_until

    async def settle(self) -> None:
        """Lets the loop read its sockets, if it has stood still lately."""
        if self.is_catching_up(time.monotonic()):
            for _turn in range(_TURNS):
                await asyncio.sleep(0)

    def _is_late(self, now: float) -> bool:
        if self._ticked_at is None:
            return False
        return now - self._ticked_at > _LATE_PERIODS * self._period
