"""Graceful shutdown after SIGTERM: every request that was read is answered."""

import asyncio
import time
from datetime import timedelta
from typing import Protocol

from marblefold.http_connections.http_server import HttpServer
from marblefold.logs import log

__all__ = ["ShutdownProgram", "accept_time", "serving_time", "shut_down_gracefully"]

# The platform checks readiness every second and reacts after two failures.
_READINESS_DETECTION = timedelta(milliseconds=2300)
_QUIET_PERIOD = timedelta(milliseconds=400)
_POLL_INTERVAL_SECONDS = 0.05
# The rest of the grace period is reserved for the exit of the process.
_EXIT_SHARE = 0.08
_MAX_EXIT_TIME = timedelta(milliseconds=500)
# A request that arrives later might not be finished in the grace period.
_ACCEPT_SHARE = 0.5
# By then the platform has sent no clients for a while.
_MAX_ACCEPT_TIME = timedelta(milliseconds=2750)


class ShutdownProgram(Protocol):
    """A program that can be shut down gracefully."""

    outbound: HttpServer

    @property
    def grace_period(self) -> timedelta: ...

    @property
    def hops_in_progress(self) -> int: ...

    def begin_shutdown(self) -> None: ...


def accept_time(grace_period: timedelta) -> timedelta:
    """How long after SIGTERM requests of clients are accepted."""
    return min(grace_period * _ACCEPT_SHARE, _MAX_ACCEPT_TIME)


def serving_time(grace_period: timedelta) -> timedelta:
    """How long after SIGTERM accepted requests may go on before the process must exit."""
    return grace_period - min(grace_period * _EXIT_SHARE, _MAX_EXIT_TIME)


async def shut_down_gracefully(program: ShutdownProgram) -> None:
    """Shuts the program down; returns when the process may exit."""
    started_at = time.monotonic()
    log.info(
        "shutdown started", in_progress=program.outbound.in_progress, hops=program.hops_in_progress
    )
    program.begin_shutdown()
    # From here on each answer closes its connection.  Requests are still accepted, because
    # clients arrive until the platform has seen two failed readiness checks.
    program.outbound.is_leaving = True
    accepts_until = started_at + accept_time(program.grace_period).total_seconds()
    program.outbound.accepts_until = accepts_until
    stop_at = started_at + serving_time(program.grace_period).total_seconds()
    while (now := time.monotonic()) < stop_at:
        if now > accepts_until:
            # Clients arrive as long as the port is open.
            program.outbound.stop()
        is_noticed = now - started_at > _READINESS_DETECTION.total_seconds()
        is_quiet = (
            now > accepts_until
            or now - program.outbound.last_request_at > _QUIET_PERIOD.total_seconds()
        )
        if is_noticed and is_quiet:
            program.outbound.close_idle()
            if not program.outbound.in_progress and not program.hops_in_progress:
                break
        await asyncio.sleep(_POLL_INTERVAL_SECONDS)
    cut_connections, cut_hops = program.outbound.in_progress, program.hops_in_progress
    program.outbound.stop()
    program.outbound.close_idle()
    log.info(
        "shutdown complete",
        after=round(time.monotonic() - started_at, 2),
        cut_connections=cut_connections,
        cut_hops=cut_hops,
    )
