"""Keeps the history of a registry beside its work, and answers calls on it."""

import asyncio
import functools
import json
import os
from concurrent.futures import ThreadPoolExecutor

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.http_connections.answer import Answer
from marblefold.http_connections.call_router import Call, CallRouter, json_answer
from marblefold.logs import log

__all__ = ["HistoryKeeper"]

# More than this waiting means a disk that stalls: the oldest are let go.
_MOST_WAITING = 16
_LONGEST_NUMBER = 18


class HistoryKeeper:
    """Owns the history's thread; without a folder there is no history."""

    def __init__(self, data_directory: str) -> None:
        self._folder = os.path.join(data_directory, "history") if data_directory else ""
        self._waiting: asyncio.Queue[tuple[int, bytes]] = asyncio.Queue()
        # One thread: the object store is used by one at a time.
        self._thread = ThreadPoolExecutor(1, "history")
        self._versions = None

    def add_to(self, router: CallRouter) -> None:
        """Serves the calls on it."""
        router.add("GET", wire_names.HISTORY_PATH, self._list)
        router.add("GET", wire_names.VERSION_PATH, self._show)

    def take(self, number: int, body: bytes) -> None:
        """A configuration holds; it is kept when there is time."""
        if not self._folder:
            return
        if self._waiting.qsize() >= _MOST_WAITING:
            self._waiting.get_nowait()
            log.warning("history lags", let_go=1)
        self._waiting.put_nowait((number, body))

    async def run(self) -> None:
        """Keeps what comes, for ever; a disk in trouble is told, and not in the way."""
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

    async def _do(self, work):
        return await asyncio.get_running_loop().run_in_executor(self._thread, work)

    def _open(self):
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
        versions = await self._do(lambda: list(self._open().newest_first()))
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
            body = await self._do(lambda: self._open().read(int(number)))
        except MeshError as error:
            return json_answer(404, {wire_names.REASON: error.reason})
        return json_answer(200, json.loads(body))
