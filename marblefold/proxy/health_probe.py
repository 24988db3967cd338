"""Requests the health of the target over HTTP."""

import asyncio
from datetime import timedelta
from typing import NamedTuple

from aiohttp.http_exceptions import HttpProcessingError

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.http_connections.heads import find_header
from marblefold.http_connections.target_connection_pool import TargetConnectionPool
from marblefold.node_config.reading import Address

__all__ = ["Health", "fetch_health", "parse_cold_remaining"]

_PROBE_TIMEOUT_SECONDS = 1.0


class Health(NamedTuple):
    """The report of a healthy target; `cold` is the remaining cold time."""

    instance: str
    slots: int
    cold: timedelta


async def fetch_health(address: Address, path: str) -> Health | None:
    """Returns the target's health, or None if it is unhealthy or does not answer in time."""
    connections = TargetConnectionPool(address)
    connection = None
    try:
        async with asyncio.timeout(_PROBE_TIMEOUT_SECONDS):
            connection = await connections.acquire()
            head = f"GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
            await connection.send_head(head.encode(), None)
            answer = await connection.answer()
            await answer.payload.read()
    except (MeshError, TimeoutError, ConnectionError, HttpProcessingError):
        return None
    finally:
        if connection is not None:
            connection.close()
    instance = find_header(answer.headers, wire_names.INSTANCE_ID)
    if answer.status != 200 or not instance:
        return None
    load = (find_header(answer.headers, wire_names.SERVER_LOAD) or b"").split(b",")
    slots = int(load[2]) if len(load) == 3 and load[2].strip().isdigit() else 0
    cold = parse_cold_remaining(find_header(answer.headers, wire_names.COLD_MS))
    if cold is None:
        return None
    return Health(instance.decode("latin-1"), slots, cold)


def parse_cold_remaining(value: bytes | None) -> timedelta | None:
    """Returns the remaining cold time, or None if the value is malformed.

    A target that sends no value is warm.
    """
    try:
        return timedelta(milliseconds=float(value or b"0"))
    except (ValueError, OverflowError):
        return None
