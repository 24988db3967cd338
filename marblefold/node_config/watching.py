"""Reloads a changed config file, on a signal or without one."""

import asyncio
import os
from collections.abc import Callable
from datetime import timedelta

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.logs import log
from marblefold.node_config.reading import NodeConfig, read_config

__all__ = ["ConfigWatch"]

_CHECK_EVERY = timedelta(seconds=1)


class ConfigWatch:
    """Holds the config in force and rereads it when its file changes."""

    def __init__(self, config: NodeConfig, environment=os.environ) -> None:
        self.config = config
        self._environment = environment
        self._listeners: list[Callable[[NodeConfig], None]] = []
        self._mark = self._read_mark()

    def add_listener(self, listener: Callable[[NodeConfig], None]) -> None:
        """Calls the listener with every config reloaded from now on."""
        self._listeners.append(listener)

    def reload(self) -> None:
        """Loads the file as it is now. A bad file is logged and changes nothing."""
        self._mark = self._read_mark()
        try:
            config = read_config(self._environment)
        except MeshError as error:
            # The config in force stays: a half-written file must not end the process.
            log.warning("config kept", reason=error.reason)
            return
        if config == self.config:
            return
        self.config = config
        log.info("config taken up", node=config.node_name)
        for listener in self._listeners:
            listener(config)

    async def run(self) -> None:
        """Reloads the file when it has changed, looking once a second, for ever."""
        while True:
            await asyncio.sleep(_CHECK_EVERY.total_seconds())
            if self._read_mark() != self._mark:
                self.reload()

    def _read_mark(self):
        try:
            status = os.stat(self._environment.get(wire_names.CONFIG_FILE_VARIABLE, ""))
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino
