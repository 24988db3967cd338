"""Hedged calls: the next peer is called before a slow one has timed out.

Only for calls that may be executed more than once: peers that were called earlier
may still execute theirs.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

from marblefold.errors import MeshError

__all__ = ["call_hedged"]

_Answer = TypeVar("_Answer")


async def call_hedged(
    peers: Iterable[str],
    call: Callable[[str, float], Awaitable[_Answer]],
    hedge_delay: float,
    timeout: float,
) -> _Answer:
    """Returns the first answer of any peer.

    The next peer is called as soon as a pending call fails, or after the hedge delay.
    hedge_delay: seconds to wait for the pending calls before the next peer is called.
    timeout: seconds for the whole call; `call` receives the seconds that remain.
    Raises the last MeshError if no peer answers in time.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout
    untried = deque(peers)
    pending: set[asyncio.Task[_Answer]] = set()
    last_error = MeshError("ask", "no answer in time")
    try:
        while (remaining := deadline - loop.time()) > 0 and (untried or pending):
            if untried:
                pending.add(asyncio.ensure_future(call(untried.popleft(), remaining)))
            done, pending = await asyncio.wait(
                pending,
                timeout=min(hedge_delay, remaining) if untried else remaining,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                error = task.exception()
                if error is None:
                    return task.result()
                if not isinstance(error, MeshError):
                    raise error
                last_error = error
    finally:
        for task in pending:
            task.cancel()
    raise last_error
