"""Takes bodies in, a few at a time, so that they do not choke a link.

A machine's link carries every hop to its target.  Bodies that all come at the
same time take as long together as one after the other, and meanwhile nothing
else gets through; in turn, each is whole sooner.  A body that is on its way
holds no slot: the target gets it whole, at once.
"""

import asyncio

from marblefold.errors import MeshError
from marblefold.inner_protocol.exchange import Exchange

__all__ = ["Intake"]

# What one body may have on its way before the guard has taken it: what the link
# carries in this time, for other hops wait behind it.
_WINDOW_SECONDS = 0.05
_LEAST_WINDOW, _MOST_WINDOW = 8 * 1024, 64 * 1024
# What all of them together may keep the link busy for.
_LINK_SECONDS = 0.1
_FEWEST, _MOST = 2, 64
# A body whose sender is slow does not hold up the others for longer.
_LONGEST_WAIT = 1.0
# A larger body, or one without a length, goes through as it comes.
# A body may take so many times what it would alone on the link.
_TIMES_USUAL = 2.5
_LARGEST_HELD = 512 * 1024


class Intake:
    """Places for bodies on their way in."""

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
        """Takes the body into the head; the step that broke down, or nothing."""
        # Nothing was offered yet: better told so soon than held to the end.
        usual = _TIMES_USUAL * max(0, head.body_length) / self._link_bytes_per_second
        seconds = min(seconds, max(patience, usual))
        if not 0 <= head.body_length <= _LARGEST_HELD:
            exchange.grant(self._window)
            return ""
        self.waiting += 1
        has_place = False
        try:
            async with asyncio.timeout(seconds):
                has_place = await self._enter()
                exchange.grant(self._window)
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
