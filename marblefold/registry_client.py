"""HTTP calls of the command line tools to a running system: one registry, or all of them."""

import asyncio
import json
from collections.abc import Mapping
from typing import NamedTuple

from marblefold import wire_names
from marblefold.errors import MeshError

__all__ = [
    "RegistryCall",
    "ask_all",
    "ask_one",
    "call_for_document",
    "call_registry",
    "find_registries",
]


class RegistryCall(NamedTuple):
    """One HTTP call; `seconds` bounds it from connecting to the last byte of the answer."""

    method: str
    path: str
    body: bytes | None = None
    headers: Mapping[str, str] | None = None
    seconds: float = 5.0


async def call_registry(address: str, call: RegistryCall) -> tuple[int, bytes]:
    """Status and body of a call to HOST:PORT. Raises MeshError without a whole answer in time."""
    # A tool that only reads files does not load the library.
    import aiohttp

    timeout = aiohttp.ClientTimeout(total=call.seconds)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                call.method, f"http://{address}{call.path}", data=call.body, headers=call.headers
            ) as answer,
        ):
            return answer.status, await answer.read()
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise MeshError("ask registry", str(error) or "no answer in time", address) from error


async def call_for_document(address: str, call: RegistryCall) -> tuple[int, dict]:
    """Status and JSON document of a call. Raises MeshError as call_registry, or without JSON."""
    status, data = await call_registry(address, call)
    try:
        return status, json.loads(data)
    except ValueError as error:
        raise MeshError("ask registry", str(error), address) from error


async def ask_one(address: str, path: str) -> tuple[int, dict]:
    """Status and JSON document of a GET; raises MeshError where there is no answer."""
    return await call_for_document(address, RegistryCall("GET", path))


async def find_registries(address: str) -> list[str]:
    """HOST:PORT of all registries of the system: the members' hosts with this one's port.

    Raises MeshError where the registry at `address` does not tell its members.
    """
    status, state = await ask_one(address, wire_names.STATE_PATH)
    if status != 200:
        raise MeshError("ask registry", f"{wire_names.STATE_PATH}: status {status}", address)
    port = address.rpartition(":")[2]
    hosts = {str(member).rpartition(":")[0] for member in state.get("members", ())}
    return sorted({f"{host}:{port}" for host in hosts if host} | {address})


async def ask_all(address: str, path: str) -> tuple[list[tuple[int, dict]], list[str]]:
    """The answers of all registries that gave one, and the addresses of those that gave none.

    Raises MeshError only where the registry at `address` does not tell its members.
    """
    registries = await find_registries(address)
    results = await asyncio.gather(
        *(ask_one(registry, path) for registry in registries), return_exceptions=True
    )
    answers, silent = [], []
    for registry, result in zip(registries, results, strict=True):
        if isinstance(result, MeshError):
            silent.append(registry)
        elif isinstance(result, BaseException):
            raise result
        else:
            answers.append(result)
    return answers, silent
