"""Ends the tasks of a soak."""

import asyncio
from collections.abc import Sequence

__all__ = ["cancel_all"]

_REPEAT_SECONDS = 0.5


async def cancel_all(tasks: Sequence[asyncio.Task]) -> list:
    """Cancels the tasks until all have ended; returns their results or exceptions.

    One cancellation isn't enough: an HTTP client whose time limit ends at the same moment
    turns it into a TimeoutError, after which its task goes on.
    """
    while pending := [task for task in tasks if not task.done()]:
        for task in pending:
            task.cancel()
        await asyncio.wait(pending, timeout=_REPEAT_SECONDS)
    return await asyncio.gather(*tasks, return_exceptions=True)
