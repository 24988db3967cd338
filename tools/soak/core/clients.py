"""Clients that read the configuration at every registry, and operators that change it."""

import asyncio
import itertools
import json
import random
import time
from typing import NamedTuple

import aiohttp

from tools.soak.layout import Machine, make_configuration

__all__ = ["CHANGE_INTERVAL_SECONDS", "ConfigurationHistory", "Operator", "Read", "Reader"]

CHANGE_INTERVAL_SECONDS = 0.4
_READ_PAUSE_SECONDS = 0.1
# Callers go on to another node after this time; a configuration takes longer.
_READ_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
_CHANGE_TIMEOUT = aiohttp.ClientTimeout(total=2.0)
_CONFIGURATION_PATH = "/mesh/configuration"


class Read(NamedTuple):
    """One read: when it was sent and answered, and with what status (0: no answer)."""

    sent_at: float
    answered_at: float
    status: int


class ConfigurationHistory:
    """All contents that were sent, and those that were acknowledged."""

    def __init__(self) -> None:
        self.versions = itertools.count(1)
        self.newest_acknowledged = 0
        self.sent = self.acknowledged = 0
        self.violations: list[str] = []
        self._contents: dict[int, set[bytes]] = {}
        self._confirmed: dict[int, bytes] = {}

    def record_sent(self, version: int, content: bytes) -> None:
        """Records a content before it is sent for the first time."""
        self._contents.setdefault(version, set()).add(content)

    def record_acknowledged(self, version: int, content: bytes) -> None:
        """Records a 200; a version confirmed with two contents is a violation."""
        newest = self.newest_acknowledged
        # A version below the one that holds is acknowledged whatever its content.
        if version >= newest and self._confirmed.setdefault(version, content) != content:
            self.violations.append(f"version {version} was confirmed with two contents")
        self.newest_acknowledged = max(newest, version)

    def record_read(self, content: bytes, acknowledged_before: int, registry: str) -> None:
        """Checks a configuration that was read: nothing older, and nothing that was not sent."""
        version = int(json.loads(content)["config-version"])
        if version < acknowledged_before:
            self.violations.append(
                f"{registry} showed version {version} after {acknowledged_before} was acknowledged"
            )
        if content not in self._contents.get(version, set()):
            self.violations.append(f"{registry} showed a version {version} that was not sent")
        elif self._confirmed.get(version, content) != content:
            self.violations.append(f"{registry} showed another version {version} than confirmed")


class Reader:
    """One client of one registry; it keeps its connection."""

    def __init__(self, machine: Machine, history: ConfigurationHistory, rng: random.Random) -> None:
        self.machine = machine
        self.reads: list[Read] = []
        self._history = history
        self._rng = rng

    async def run(self) -> None:
        """Reads until cancelled, each time a moment after the last answer."""
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector, timeout=_READ_TIMEOUT) as session:
            await asyncio.sleep(self._rng.uniform(0.0, _READ_PAUSE_SECONDS))
            while True:
                await self._read(session)
                await asyncio.sleep(_READ_PAUSE_SECONDS)

    async def _read(self, session: aiohttp.ClientSession) -> None:
        sent_at, status = time.monotonic(), 0
        acknowledged = self._history.newest_acknowledged
        try:
            async with session.get(_url(self.machine)) as response:
                content = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            content = b""
        self.reads.append(Read(sent_at, time.monotonic(), status))
        if status == 200:
            self._history.record_read(content, acknowledged, self.machine.name)


class Operator:
    """Changes the configuration; several of them race, at times under one version."""

    def __init__(self, name: str, history: ConfigurationHistory, rng: random.Random) -> None:
        self._name = name
        self._history = history
        self._rng = rng

    async def run(self, machines: list[Machine]) -> None:
        """Sends a change at fixed intervals until cancelled; the list of machines may change."""
        async with aiohttp.ClientSession(timeout=_CHANGE_TIMEOUT) as session:
            while True:
                await self.change(session, machines, next(self._history.versions))
                await asyncio.sleep(CHANGE_INTERVAL_SECONDS)

    async def change(
        self, session: aiohttp.ClientSession, machines: list[Machine], version: int
    ) -> None:
        """Sends one change to one machine after the other until it is acknowledged."""
        configuration = make_configuration(version)
        configuration["route-list"][0]["name"] += f"-{self._name}"
        content = json.dumps(configuration).encode()
        self._history.sent += 1
        self._history.record_sent(version, content)
        for machine in self._rng.sample(machines, len(machines)):
            status = await self._send(session, machine, content)
            if status == 200:
                self._history.acknowledged += 1
                self._history.record_acknowledged(version, content)
            if status in (200, 409):
                return

    async def _send(self, session: aiohttp.ClientSession, machine: Machine, content: bytes) -> int:
        try:
            async with session.put(_url(machine), data=content) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0


def _url(machine: Machine) -> str:
    return f"http://{machine.host}:{machine.control_port}{_CONFIGURATION_PATH}"
