"""Reads the platform's list of targets, page by page.

The platform rate-limits calls over all nodes together.  Reading either returns the
whole list or raises.
"""

import asyncio
import json
from datetime import timedelta
from typing import Any, NamedTuple
from urllib.parse import quote

from aiohttp.http_exceptions import HttpProcessingError

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.http_connections.target_connection_pool import TargetConnectionPool
from marblefold.node_config.reading import Address

__all__ = ["ListedTarget", "MalformedPage", "PlatformList", "read_page"]

_CALL_TIMEOUT_SECONDS = 1.0
_MAX_PAGES = 1000
# Two nodes that poll at the same time still stay below the rate limit.
_RATE_SHARE = 0.25
# Infinite numbers raise OverflowError, and deep nesting RecursionError.
_MALFORMED_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class MalformedPage(ValueError):
    """A page of the platform's list that cannot be read."""


class ListedTarget(NamedTuple):
    """A target as the platform lists it; `cold` is its remaining cold-start time."""

    instance: str
    upstream: str
    address: str
    zone: str
    slots: int
    state: str
    cold: timedelta


class PlatformList:
    """Reads the list from the platform, within a share of its limit of calls per second."""

    def __init__(self, address: Address, rate_per_second: float) -> None:
        self._address = address
        self._connections = TargetConnectionPool(address)
        self._pause_seconds = 1.0 / max(0.1, rate_per_second * _RATE_SHARE)

    async def read(self) -> dict[str, ListedTarget]:
        """Returns the whole list by instance; raises MeshError if a page cannot be read."""
        listed: dict[str, ListedTarget] = {}
        token = ""
        for _ in range(_MAX_PAGES):
            targets, token = await self._read_page(token)
            listed.update((target.instance, target) for target in targets)
            if not token:
                return listed
            await asyncio.sleep(self._pause_seconds)
        raise MeshError("list", "too many pages", str(self._address))

    async def _read_page(self, token: str) -> tuple[list[ListedTarget], str]:
        path = wire_names.INSTANCES_CALL[1]
        if token:
            path += f"?{wire_names.PAGE_TOKEN}={quote(token, safe='')}"
        peer = str(self._address)
        connection = None
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_SECONDS):
                connection = await self._connections.acquire()
                head = f"GET {path} HTTP/1.1\r\nHost: {peer}\r\n\r\n"
                await connection.send_head(head.encode(), None)
                answer = await connection.answer()
                body = await answer.payload.read()
            self._connections.release(connection)
            connection = None
        except (TimeoutError, ConnectionError, HttpProcessingError) as error:
            raise MeshError("list", str(error) or "no answer", peer) from error
        finally:
            if connection is not None:
                self._connections.discard(connection)
        if answer.status != 200:
            raise MeshError("list", f"status {answer.status}", peer)
        try:
            return read_page(body)
        except MalformedPage as error:
            raise MeshError("list", f"malformed page: {error}", peer) from error


def read_page(body: bytes) -> tuple[list[ListedTarget], str]:
    """Returns the targets of a page, and the token of the next page or "".

    Raises MalformedPage.
    """
    try:
        document = json.loads(body)
        rows = document[wire_names.INSTANCE_LIST].items()
        targets = [_read_target(instance, row) for instance, row in rows]
        return targets, document.get(wire_names.NEXT_PAGE_TOKEN) or ""
    except _MALFORMED_ERRORS as error:
        raise MalformedPage(repr(error)) from error


def _read_target(instance: str, row: dict[str, Any]) -> ListedTarget:
    return ListedTarget(
        instance,
        row[wire_names.UPSTREAM],
        str(Address.parse(row[wire_names.ADDRESS])),
        row[wire_names.ZONE],
        max(1, int(row[wire_names.CAPACITY_SLOTS])),
        row[wire_names.STATE],
        timedelta(milliseconds=float(row.get(wire_names.COLD_REMAINING_MS) or 0)),
    )
