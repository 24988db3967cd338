"""Keeps the history of a registry beside its work, and answers calls on it."""

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

__all__ = ["HistoryKeeper"]

# More than this waiting means a disk that stalls: the oldest are let go.
_MOST_WAITING = 16
# A call on the history is answered by then, also while the disk answers nothing.
_CALL_SECONDS = 1.0
_LONGEST_NUMBER = 18


class HistoryKeeper:
    """Owns the history's thread; without a folder there is no history."""

    def __init__(self, data_directory: str) -> None:
        self._folder = os.path.join(data_directory, "history") if data_directory else ""
        self._waiting: asyncio.Queue[tuple[int, bytes]] = asyncio.Queue()
        # One thread: the object store is used by one at a time.
        self._thread = DiskThread("history")
        # The highest number taken so far: every store sends each one, at any time.
        self._newest = 0
        self._versions: Versions | None = None

    def add_to(self, router: CallRouter) -> None:
        """Serves the calls on it."""
        router.add("GET", wire_names.HISTORY_PATH, self._list)
        router.add("GET", wire_names.VERSION_PATH, self._show)

    def take(self, number: int, body: bytes) -> None:
        """A configuration holds; it is kept when there is time."""
        if not self._folder or number <= self._newest:
            return
        self._newest = number
        if self._waiting.qsize() >= _MOST_WAITING:
            self._waiting.get_nowait()
            log.warning("history lags", let_go=1)
        self._waiting.put_nowait((number, body))

    async def run(self) -> None:
        """Keeps what comes, for ever; a disk in trouble is logged, and holds nothing up."""
        if not self._folder:
            return
        while True:
            number, body = await self._waiting.get()
            try:
                await self._do(functools.partial(self._add, number, body))
            except Exception as error:
                # Nothing depends on it, so nothing may break by it either.
                log.warning("history not kept", number=number, reason=str(error))
                self._versions = None

    def _add(self, number: int, body: bytes) -> None:
        self._open().add(number, body)

    async def _do(self, work: Callable[[], Any]) -> Any:
        return await asyncio.wrap_future(self._thread.submit(work))

    async def _answer(self, work: Callable[[], Any]) -> Any:
        """What the history says; MeshError where its disk fails, or answers nothing."""
        try:
            async with asyncio.timeout(_CALL_SECONDS):
                return await self._do(work)
        except MeshError:
            raise
        except Exception as error:
            # Torn objects make the library raise almost anything.
            raise DiskError("history", str(error) or "the disk does not answer") from error

    def _open(self) -> "Versions":
        if self._versions is None:
            # Nothing else in a registry needs the library.
            from marblefold.history.versions import Versions

            versions = Versions(self._folder)
            versions.open()
            if versions.damage:
                log.warning("history damaged", reason=versions.damage)
            self._versions = versions
        return self._versions

    async def _list(self, _call: Call) -> Answer:
        if not self._folder:
            return json_answer(404, {wire_names.REASON: "no history is kept here"})
        try:
            versions = await self._answer(lambda: list(self._open().newest_first()))
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
        if not (number.isascii() and number.isdigit() and len(number) <= _LONGEST_NUMBER):
            return json_answer(400, {wire_names.REASON: "version: not a number"})
        try:
            body = await self._answer(lambda: self._open().read(int(number)))
        except DiskError as error:
            return outcome_unknown_answer(error)
        except MeshError as error:
            return json_answer(404, {wire_names.REASON: error.reason})
        return json_answer(200, json.loads(body))
