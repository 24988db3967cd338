"""Leaves in order after a SIGTERM: nothing read is left unanswered."""

import asyncio
import time
from datetime import timedelta
from typing import Protocol

from marblefold.http_connections.http_server import HttpServer
from marblefold.logs import log

__all__ = ["Leaver", "leave_in_order"]

# The platform asks for readiness every second and believes two misses.
_NOTICED = timedelta(milliseconds=2300)
_QUIET = timedelta(milliseconds=400)
_LOOK_EVERY = 0.05
# A part of the grace period is kept for the end itself.
_GRACE_SHARE = 0.92
_TAKING_SHARE = 0.55


class Leaver(Protocol):
    """What has to be stopped in order."""

    outbound: HttpServer

    @property
    def grace_period(self) -> timedelta: ...

    @property
    def hops_in_progress(self) -> int: ...

    def tell_leaving(self) -> None: ...


async def leave_in_order(program: Leaver) -> None:
    """Returns when the process may end."""
    began = time.monotonic()
    log.info("leaving", in_progress=program.outbound.in_progress, hops=program.hops_in_progress)
    program.tell_leaving()
    # Answers from here on end their connections, but requests are still taken:
    # clients come until the platform has missed our readiness twice.
    program.outbound.is_leaving = True
    last = began + program.grace_period.total_seconds() * _GRACE_SHARE
    while (now := time.monotonic()) < last:
        if now - began > program.grace_period.total_seconds() * _TAKING_SHARE:
            # Clients may come as long as we listen: what is taken in later
            # than this could not be brought to its end.
            program.outbound.turns_away = True
            program.outbound.stop()
        is_noticed = now - began > _NOTICED.total_seconds()
        is_quiet = (
            program.outbound.turns_away
            or now - program.outbound.last_arrival > _QUIET.total_seconds()
        )
        if is_noticed and is_quiet:
            program.outbound.close_idle()
            if not program.outbound.in_progress and not program.hops_in_progress:
                break
        await asyncio.sleep(_LOOK_EVERY)
    program.outbound.stop()
    program.outbound.close_idle()
    log.info("left", after=round(time.monotonic() - began, 2))
