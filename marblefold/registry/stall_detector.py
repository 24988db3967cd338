"""Notices that this process stood still, and what it read since may be old.

While a process is frozen the kernel goes on filling its sockets.  What is read
after the thaw may have been sent long ago, by a caller that has gone on.  The
loop marks that it runs, and the guard compares the steady clock at each of
these marks: a gap is a stall.  After a stall everything is suspect until the
loop has gone round often enough to have accepted and read all that waited.
"""

import asyncio
import time
from collections.abc import Callable

__all__ = ["CHECK_INTERVAL_SECONDS", "STALL_THRESHOLD_SECONDS", "StallDetector"]

# A record_progress at least so often; a gap of more than STALL_THRESHOLD_SECONDS is a stall.
CHECK_INTERVAL_SECONDS = 0.1
STALL_THRESHOLD_SECONDS = 0.35
# To accept a connection, to hand it to its protocol, to add its reader and to
# read it takes the loop four rounds; twice that, and never less than this time.
_ROUNDS = 8
_SUSPECT_SECONDS = 0.1


class StallDetector:
    """Knows whether what is read now surely came while this process ran."""

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        schedule: Callable[[Callable[[], None]], object] | None = None,
    ) -> None:
        self._clock = clock
        self._schedule = schedule or _call_soon
        self._last_progress_at: float | None = None
        self._suspect_until = float("-inf")
        self._rounds_left = 0

    def record_progress(self) -> None:
        """The loop lives; a gap since the record_progress before is a stall."""
        now = self._clock()
        before, self._last_progress_at = self._last_progress_at, now
        if before is not None and now - before > STALL_THRESHOLD_SECONDS:
            self._suspect_until = now + _SUSPECT_SECONDS
            is_counting = self._rounds_left > 0
            self._rounds_left = _ROUNDS
            if not is_counting:
                self._schedule(self._count_round)

    def may_be_stale(self) -> bool:
        """Whether what is read now may have waited through a stall."""
        self.record_progress()
        return self._rounds_left > 0 or self._clock() < self._suspect_until

    async def run(self) -> None:
        """Marks for ever."""
        while True:
            self.record_progress()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def _count_round(self) -> None:
        self._rounds_left -= 1
        if self._rounds_left > 0:
            self._schedule(self._count_round)


def _call_soon(action: Callable[[], None]) -> None:
    asyncio.get_running_loop().call_soon(action)
