"""Graceful shutdown after a SIGTERM: every request that was read is answered."""

import asyncio
import time
from datetime import timedelta
from typing import Protocol

from marblefold.http_connections.http_server import HttpServer
from marblefold.logs import log

__all__ = ["Leaver", "leave_in_order"]

# The platform checks readiness every second and acts on two failures.
_NOTICED = timedelta(milliseconds=2300)
_QUIET = timedelta(milliseconds=400)
_LOOK_EVERY = 0.05
# The rest of the grace period is reserved for the end itself.
_GRACE_SHARE = 0.92
_TAKING_SHARE = 0.55


class Leaver(Protocol):
    """A program that is shut down gracefully."""

    outbound: HttpServer

    @property
    def grace_period(self) -> timedelta: ...

    @property
    def hops_in_progress(self) -> int: ...

    def tell_leaving(self) -> None: ...


async def leave_in_order(program: Leaver) -> None:
    """Returns when the process may exit."""
    began = time.monotonic()
    log.info("leaving", in_progress=program.outbound.in_progress, hops=program.hops_in_progress)
    program.tell_leaving()
    # Answers from here on close their connections, but requests are still accepted:
    # clients arrive until the platform has seen two failed readiness checks.
    program.outbound.is_leaving = True
    last = began + program.grace_period.total_seconds() * _GRACE_SHARE
    while (now := time.monotonic()) < last:
        if now - began > program.grace_period.total_seconds() * _TAKING_SHARE:
            # Clients may arrive as long as we listen: a request accepted later
            # than this could not be finished.
            program.outbound.refuses_requests = True
            program.outbound.stop()
        is_noticed = now - began > _NOTICED.total_seconds()
        is_quiet = (
            program.outbound.refuses_requests
            or now - program.outbound.last_request_at > _QUIET.total_seconds()
        )
        if is_noticed and is_quiet:
            program.outbound.close_idle()
            if not program.outbound.in_progress and not program.hops_in_progress:
                break
        await asyncio.sleep(_LOOK_EVERY)
    program.outbound.stop()
    program.outbound.close_idle()
    log.info("left", after=round(time.monotonic() - began, 2))
