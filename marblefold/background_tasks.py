"""Owns the background tasks of a program and logs those that fail."""

import asyncio
from collections.abc import Coroutine

from marblefold.logs import log

__all__ = ["BackgroundTasks"]


class BackgroundTasks:
    """Holds references to running tasks until they end."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def start(self, coroutine: Coroutine) -> None:
        """Runs the coroutine in the background."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def cancel(self) -> None:
        """Cancels all running tasks."""
        for task in self._tasks:
            task.cancel()

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("background task failed", exc_info=task.exception())
