"""Closes a connection such that its peer can read everything that was sent on it.

A request on its way that meets a closed socket resets the connection, and the answers that the
peer has not read yet are lost (RFC 9112, section 9.6).  So only the sending side is closed first;
the rest of what the peer sends is read and discarded until the peer closes its side as well.
"""

import asyncio
import time
from collections.abc import Callable

from marblefold.undelivered_bytes import count_undelivered_bytes

__all__ = ["QUIET_SECONDS", "LingeringClose"]

# For how long after the last byte, sent or received, a further request may still arrive.
QUIET_SECONDS = 1.0
_POLL_SECONDS = 0.25
# A peer that acknowledges nothing for this long is given up.
_STALL_SECONDS = 10.0
# A peer that goes on sending is given up after this long.
_LIMIT_SECONDS = 30.0


class LingeringClose:
    """The closing phase of one connection."""

    def __init__(
        self,
        transport: asyncio.Transport,
        loop: asyncio.AbstractEventLoop,
        count_undelivered: Callable[[asyncio.WriteTransport], int] = count_undelivered_bytes,
    ) -> None:
        """Closes the sending side behind what has been written.

        `count_undelivered` returns how many written bytes the peer has not acknowledged.
        """
        self._transport = transport
        self._loop = loop
        self._count_undelivered = count_undelivered
        self._began_at = self._last_byte_at = time.monotonic()
        self._undelivered = count_undelivered(transport)
        self._timer: asyncio.TimerHandle | None = None
        if transport.can_write_eof():
            transport.write_eof()
            self._schedule()
        else:
            transport.close()

    def note_received(self) -> None:
        """Records that bytes of the peer were discarded."""
        self._last_byte_at = time.monotonic()

    def cancel(self) -> None:
        """Stops waiting; called once the connection is lost."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self) -> None:
        self._timer = self._loop.call_later(_POLL_SECONDS, self._poll)

    def _poll(self) -> None:
        now = time.monotonic()
        undelivered = self._count_undelivered(self._transport)
        if undelivered != self._undelivered:
            self._undelivered = undelivered
            self._last_byte_at = now
        quiet_seconds = now - self._last_byte_at
        is_stalled = undelivered and quiet_seconds > _STALL_SECONDS
        if is_stalled or now - self._began_at > _LIMIT_SECONDS:
            self._transport.abort()
        elif not undelivered and quiet_seconds > QUIET_SECONDS:
            self._transport.close()
        else:
            self._schedule()
