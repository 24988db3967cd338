"""Logs what a program has counted, at fixed intervals."""

import asyncio
from typing import Any, Protocol

from marblefold.logs import log

__all__ = ["Statistics", "log_statistics"]

_INTERVAL_SECONDS = 10.0


class Statistics(Protocol):
    """Counts that are reported and begin anew."""

    def take_report(self) -> dict[str, Any] | None: ...


async def log_statistics(event: str, statistics: Statistics) -> None:
    """Logs the counts each ten seconds in which there were any; never returns."""
    while True:
        await asyncio.sleep(_INTERVAL_SECONDS)
        report = statistics.take_report()
        if report is not None:
            log.info(event, **report)
