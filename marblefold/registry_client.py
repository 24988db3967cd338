"""HTTP client of the command line tools: calls one registry of a system, or all of them."""

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
    """Calls HOST:PORT and returns status and body; raises MeshError without a complete answer."""
    # Imported here, so that tools that only read files do not load the library.
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
    """Returns status and JSON document of a call.

    Raises MeshError as call_registry does, and if the answer is not JSON.
    """
    status, data = await call_registry(address, call)
    try:
        return status, json.loads(data)
    except ValueError as error:
        raise MeshError("ask registry", str(error), address) from error


async def ask_one(address: str, path: str) -> tuple[int, dict]:
    """Returns status and JSON document of a GET; raises MeshError if there is no answer."""
    return await call_for_document(address, RegistryCall("GET", path))


async def find_registries(address: str) -> list[str]:
    """Returns HOST:PORT of all registries: the members' hosts with the port of `address`.

    Raises MeshError if the registry at `address` does not return its members.
    """
    status, state = await ask_one(address, wire_names.STATE_PATH)
    if status != 200:
        raise MeshError("ask registry", f"{wire_names.STATE_PATH}: status {status}", address)
    port = address.rpartition(":")[2]
    hosts = {str(member).rpartition(":")[0] for member in state.get("members", ())}
    return sorted({f"{host}:{port}" for host in hosts if host} | {address})


async def ask_all(address: str, path: str) -> tuple[list[tuple[int, dict]], list[str]]:
    """Returns the answers of the registries, and the addresses of those that gave none.

    Raises MeshError only if the registry at `address` does not return its members.
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
