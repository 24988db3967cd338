"""HTTP calls of the command line tools to a running system: one registry, or all of them."""

import asyncio
import json
from collections.abc import Mapping

from marblefold import wire_names
from marblefold.errors import MeshError

__all__ = ["ask_all", "ask_one", "call_for_document", "call_registry", "find_registries"]

_CALL_SECONDS = 5.0


async def call_registry(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    seconds: float = _CALL_SECONDS,
) -> tuple[int, bytes]:
    """Status and body of one call to HOST:PORT.

    Raises MeshError where there is no whole answer within `seconds`.
    """
    # A tool that only reads files does not load the library.
    import aiohttp

    timeout = aiohttp.ClientTimeout(total=seconds)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                method, f"http://{address}{path}", data=body, headers=headers
            ) as answer,
        ):
            return answer.status, await answer.read()
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise MeshError("ask registry", str(error) or "no answer in time", address) from error


async def call_for_document(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    seconds: float = _CALL_SECONDS,
) -> tuple[int, dict]:
    """Status and JSON document of one call; raises MeshError as call_registry, or for no JSON."""
    status, data = await call_registry(address, method, path, body, headers, seconds)
    try:
        return status, json.loads(data)
    except ValueError as error:
        raise MeshError("ask registry", str(error), address) from error


async def ask_one(address: str, path: str) -> tuple[int, dict]:
    """Status and JSON document of a GET; raises MeshError where there is no answer."""
    return await call_for_document(address, "GET", path)


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
