"""Lets only so many bodies come in at once, so that they do not choke a link.

A machine's link carries every hop to its target.  Bodies that all come at the
same time take as long together as one after the other, and meanwhile nothing
else gets through; in turn, each is whole sooner.
"""

import asyncio
from typing import Callable

__all__ = ["Intake", "WINDOW"]

# What one body may have on its way before the guard has taken it.
WINDOW = 24 * 1024
# What all of them together may keep the link busy for.
_LINK_SECONDS = 0.2
_FEWEST, _MOST = 2, 64
# A body whose sender is slow does not hold up the others for longer.
_LONGEST_WAIT = 1.0


class Intake:
    """Places for bodies on their way in."""

    def __init__(self, link_bytes_per_second: float) -> None:
        places = int(link_bytes_per_second * _LINK_SECONDS / WINDOW)
        self._places = asyncio.Semaphore(max(_FEWEST, min(_MOST, places)))

    async def enter(self) -> Callable[[], None]:
        """Waits for a place; what it gives is called once the body is in."""
        try:
            async with asyncio.timeout(_LONGEST_WAIT):
                await self._places.acquire()
        except TimeoutError:
            return lambda: None
        left = False

        def leave() -> None:
            nonlocal left
            if not left:
                left = True
                self._places.release()

        return leave
