"""Records the configuration history of a registry in the background and answers calls on it."""

import asyncio
import functools
import json
import os
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from marblefold import wire_names
from marblefold.disk_thread import DiskThread
from marblefold.errors import DiskError, MeshError
from marblefold.http_connections.answer import Answer
from marblefold.http_connections.call_router import (
    Call,
    CallRouter,
    json_answer,
    outcome_unknown_answer,
)
from marblefold.logs import log

if TYPE_CHECKING:
    from marblefold.history.versions import Versions

__all__ = ["HistoryRecorder"]

# A longer queue means that the disk stalls: the oldest entry is dropped.
_MAX_QUEUED = 16
# Bounds the time to answer a call while the disk hangs.
_CALL_TIMEOUT_SECONDS = 1.0
_MAX_NUMBER_DIGITS = 18


class HistoryRecorder:
    """Owns the disk thread of the history; without a data directory nothing is recorded."""

    def __init__(self, data_directory: str) -> None:
        self._folder = os.path.join(data_directory, "history") if data_directory else ""
        self._queue: asyncio.Queue[tuple[int, bytes]] = asyncio.Queue()
        # A single thread, as the object store does not support concurrent use.
        self._thread = DiskThread("history")
        # The highest number recorded: every store sends every number, in any order.
        self._newest_number = 0
        self._versions: Versions | None = None

    def add_to(self, router: CallRouter) -> None:
        """Adds the calls on the history to the router."""
        router.add("GET", wire_names.HISTORY_PATH, self._list)
        router.add("GET", wire_names.VERSION_PATH, self._show)

    def record(self, number: int, body: bytes) -> None:
        """Queues an acknowledged configuration for the history; ignores outdated numbers."""
        if not self._folder or number <= self._newest_number:
            return
        self._newest_number = number
        if self._queue.qsize() >= _MAX_QUEUED:
            self._queue.get_nowait()
            log.warning("history queue full, oldest entry dropped", let_go=1)
        self._queue.put_nowait((number, body))

    async def run(self) -> None:
        """Writes queued configurations, forever; disk errors are only logged."""
        if not self._folder:
            return
        while True:
            number, body = await self._queue.get()
            try:
                await self._run_on_thread(functools.partial(self._add, number, body))
            except Exception as error:
                # No other part depends on the history, so its errors must not stop the registry.
                log.warning("history write failed", number=number, reason=str(error))
                self._versions = None

    def _add(self, number: int, body: bytes) -> None:
        self._open().add(number, body)

    async def _run_on_thread(self, work: Callable[[], Any]) -> Any:
        return await asyncio.wrap_future(self._thread.submit(work))

    async def _query(self, work: Callable[[], Any]) -> Any:
        """Runs a query on the disk thread; a disk failure or a timeout raises DiskError."""
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_SECONDS):
                return await self._run_on_thread(work)
        except MeshError:
            raise
        except Exception as error:
            # On torn objects the library raises exceptions of almost any type.
            raise DiskError("history", str(error) or "the disk does not answer") from error

    def _open(self) -> "Versions":
        if self._versions is None:
            # Imported late, as nothing else in a registry needs the Git library.
            from marblefold.history.versions import Versions

            versions = Versions(self._folder)
            versions.open()
            if versions.damage:
                log.warning("damaged history moved aside", reason=versions.damage)
            self._versions = versions
        return self._versions

    async def _list(self, _call: Call) -> Answer:
        if not self._folder:
            return json_answer(404, {wire_names.REASON: "no history is kept here"})
        try:
            versions = await self._query(lambda: list(self._open().newest_first()))
        except DiskError as error:
            return outcome_unknown_answer(error)
        return json_answer(
            200,
            {
                "versions": [
                    {
                        wire_names.CONFIG_VERSION: version.number,
                        "at": version.at,
                        "commit": version.commit,
                    }
                    for version in versions
                ]
            },
        )

    async def _show(self, call: Call) -> Answer:
        if not self._folder:
            return json_answer(404, {wire_names.REASON: "no history is kept here"})
        number = call.subject.removeprefix("r")
        if not (number.isascii() and number.isdigit() and len(number) <= _MAX_NUMBER_DIGITS):
            return json_answer(400, {wire_names.REASON: "version: not a number"})
        try:
            body = await self._query(lambda: self._open().read(int(number)))
        except DiskError as error:
            return outcome_unknown_answer(error)
        except MeshError as error:
            return json_answer(404, {wire_names.REASON: error.reason})
        return json_answer(200, json.loads(body))
