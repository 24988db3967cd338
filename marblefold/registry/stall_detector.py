"""Detects that this process was paused, so that data read afterwards may be stale.

While a process is paused, the kernel keeps filling its socket buffers.  What is
read after it resumes may have been sent long ago, by a caller that has since timed
out.  The event loop records its progress, and the detector compares the monotonic
clock between records: a large gap is a stall.  After a stall, everything may be
stale until the loop has run enough iterations to accept and read all waiting data.
"""

import asyncio
import time
from collections.abc import Callable

__all__ = ["CHECK_INTERVAL_SECONDS", "STALL_THRESHOLD_SECONDS", "StallDetector"]

# Progress is recorded at least this often.
CHECK_INTERVAL_SECONDS = 0.1
# A larger gap between two records of progress is a stall.
STALL_THRESHOLD_SECONDS = 0.35
# The loop needs four iterations to accept a connection, attach its protocol, add its
# reader and read from it.  Data may be stale for twice as many iterations, and for at
# least the time below.
_STALE_ITERATIONS = 8
_MIN_STALE_SECONDS = 0.1


class StallDetector:
    """Detects whether data read now may have arrived while this process was paused."""

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        schedule: Callable[[Callable[[], None]], object] | None = None,
    ) -> None:
        self._clock = clock
        self._schedule = schedule or _call_soon
        self._last_progress_at: float | None = None
        self._stale_until = float("-inf")
        self._iterations_remaining = 0

    def record_progress(self) -> None:
        """Records that the loop is running; a large gap since the last record is a stall."""
        now = self._clock()
        previous, self._last_progress_at = self._last_progress_at, now
        if previous is not None and now - previous > STALL_THRESHOLD_SECONDS:
            self._stale_until = now + _MIN_STALE_SECONDS
            is_counting = self._iterations_remaining > 0
            self._iterations_remaining = _STALE_ITERATIONS
            if not is_counting:
                self._schedule(self._count_iteration)

    def may_be_stale(self) -> bool:
        """Whether data read now may have been buffered during a stall."""
        self.record_progress()
        return self._iterations_remaining > 0 or self._clock() < self._stale_until

    async def run(self) -> None:
        """Records progress at a fixed interval, forever."""
        while True:
            self.record_progress()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def _count_iteration(self) -> None:
        self._iterations_remaining -= 1
        if self._iterations_remaining > 0:
            self._schedule(self._count_iteration)


def _call_soon(action: Callable[[], None]) -> None:
    asyncio.get_running_loop().call_soon(action)
