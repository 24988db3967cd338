"""Reloads the config file when it changes or when a signal asks for it."""

import asyncio
import os
from collections.abc import Callable
from datetime import timedelta

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.logs import log
from marblefold.node_config.reading import NodeConfig, read_config

__all__ = ["ConfigWatch"]

_CHECK_INTERVAL = timedelta(seconds=1)


class ConfigWatch:
    """Holds the current config and reloads it when its file changes."""

    def __init__(self, config: NodeConfig | None = None, environment=os.environ) -> None:
        """Reads the file unless a config is given. Raises MeshError if the file is invalid."""
        self._environment = environment
        self._listeners: list[Callable[[NodeConfig], None]] = []
        # Before the file is read, so that a change right after that is noticed.
        self._file_stat = self._read_file_stat()
        self.config = read_config(environment) if config is None else config

    def add_listener(self, listener: Callable[[NodeConfig], None]) -> None:
        """Calls the listener with every config that is reloaded from now on."""
        self._listeners.append(listener)

    def reload(self) -> None:
        """Reloads the file; logs an invalid file and keeps the current config."""
        self._file_stat = self._read_file_stat()
        try:
            config = read_config(self._environment)
        except MeshError as error:
            # Keeps the current config: a partially written file must not end the process.
            log.warning("config kept", reason=error.reason)
            return
        if config == self.config:
            return
        self.config = config
        log.info("config reloaded", node=config.node_name)
        for listener in self._listeners:
            listener(config)

    async def run(self) -> None:
        """Checks once a second whether the file has changed and reloads it; never returns."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL.total_seconds())
            if self._read_file_stat() != self._file_stat:
                self.reload()

    def _read_file_stat(self):
        try:
            status = os.stat(self._environment.get(wire_names.CONFIG_FILE_VARIABLE, ""))
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino
