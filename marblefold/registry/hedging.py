"""Asks peers one after the other, without waiting out the silent ones.

Only what may be done twice is asked this way: the peers asked earlier go on
with it.
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
    ask: Callable[[str, float], Awaitable[_Answer]],
    patience: float,
    seconds: float,
) -> _Answer:
    """The first answer; the next peer is asked once those before failed or were silent.

    patience: how long a peer is waited for before the next is asked as well.
    seconds: how long all of it may take; `ask` is given what is left.
    Raises the last MeshError if no peer answered in time.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    waiting = deque(peers)
    pending: set[asyncio.Task[_Answer]] = set()
    last = MeshError("ask", "no answer in time")
    try:
        while (left := end - loop.time()) > 0 and (waiting or pending):
            if waiting:
                pending.add(asyncio.ensure_future(ask(waiting.popleft(), left)))
            done, pending = await asyncio.wait(
                pending,
                timeout=min(patience, left) if waiting else left,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                error = task.exception()
                if error is None:
                    return task.result()
                if not isinstance(error, MeshError):
                    raise error
                last = error
    finally:
        for task in pending:
            task.cancel()
    raise last
