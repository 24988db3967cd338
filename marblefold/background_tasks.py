"""Keeps the tasks of a program, and says so when one breaks down."""

import asyncio
from collections.abc import Coroutine

from marblefold.logs import log

__all__ = ["BackgroundTasks"]


class BackgroundTasks:
    """Owns tasks until they end or the program does."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def start(self, run: Coroutine) -> None:
        """Runs it beside all else."""
        task = asyncio.get_running_loop().create_task(run)
        self._tasks.add(task)
        task.add_done_callback(self._note_end)

    def cancel(self) -> None:
        """Ends them all."""
        for task in self._tasks:
            task.cancel()

    def _note_end(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("task broke down", exc_info=task.exception())
