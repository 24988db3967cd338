"""Receives request bodies, a few at a time, so that they do not saturate a link.

A machine's link carries every hop to its target.  Bodies received concurrently
take as long in total as one after the other, and block everything else meanwhile;
one after the other, each is complete sooner.  A body in transfer holds no slot:
the target gets it whole, at once.
"""

import asyncio

from marblefold.errors import MeshError
from marblefold.inner_protocol.exchange import Exchange

__all__ = ["Intake"]

# The window of one body: what the link carries in this time, since other hops
# wait behind it.
_WINDOW_SECONDS = 0.05
_LEAST_WINDOW, _MOST_WINDOW = 8 * 1024, 64 * 1024
# For how long all bodies together may occupy the link.
_LINK_SECONDS = 0.1
_FEWEST, _MOST = 2, 64
# A body with a slow sender delays the others for no longer.
_LONGEST_WAIT = 1.0
# A body may take so many times as long as it would alone on the link.
_TIMES_USUAL = 2.5
# A larger body, or one without a length, is forwarded as it arrives.
_LARGEST_HELD = 512 * 1024


class Intake:
    """Limits how many bodies are received at once."""

    def __init__(self, link_bytes_per_second: float) -> None:
        self._link_bytes_per_second = max(1.0, link_bytes_per_second)
        self._window = int(
            max(_LEAST_WINDOW, min(_MOST_WINDOW, link_bytes_per_second * _WINDOW_SECONDS))
        )
        places = int(link_bytes_per_second * _LINK_SECONDS / self._window)
        self._places = asyncio.Semaphore(max(_FEWEST, min(_MOST, places)))
        self.waiting = 0

    async def take(
        self,
        exchange: Exchange,
        head,
        seconds: float,
        patience: float = 1e9,
    ) -> str:
        """Receives the body into the head; returns the step that failed, or "".

        It may take `seconds`, and no longer than the larger of `patience` (seconds)
        and the usual time for its length.
        """
        # Nothing was offered yet: an early refusal is better than a late one.
        usual = _TIMES_USUAL * max(0, head.body_length) / self._link_bytes_per_second
        seconds = min(seconds, max(patience, usual))
        if not 0 <= head.body_length <= _LARGEST_HELD:
            exchange.grant_credit(self._window)
            return ""
        self.waiting += 1
        has_place = False
        try:
            async with asyncio.timeout(seconds):
                has_place = await self._enter()
                exchange.grant_credit(self._window)
                parts = [head.body]
                while chunk := await exchange.incoming.read():
                    parts.append(chunk)
        except TimeoutError:
            return "body too slow"
        except MeshError as error:
            return error.step
        finally:
            self.waiting -= 1
            if has_place:
                self._places.release()
        head.body = b"".join(parts)
        head.body_follows = False
        return "" if len(head.body) == head.body_length else "body not whole"

    async def _enter(self) -> bool:
        try:
            async with asyncio.timeout(_LONGEST_WAIT):
                return await self._places.acquire()
        except TimeoutError:
            return False
