"""Asks a running system, for the tools: one registry, or all that it names."""

import asyncio
import json

from marblefold import wire_names
from marblefold.errors import MeshError

__all__ = ["ask_all", "ask_one", "find_registries"]

_CALL_SECONDS = 5.0


async def ask_one(address: str, path: str) -> tuple[int, dict]:
    """Status and document of one call; a MeshError where there is no answer."""
    import aiohttp

    timeout = aiohttp.ClientTimeout(total=_CALL_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f"http://{address}{path}") as answer,
        ):
            document = json.loads(await answer.read())
            return answer.status, document
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise MeshError("ask registry", str(error) or "no answer in time", address) from error


async def find_registries(address: str) -> list[str]:
    """All registries of the system that this one is part of: alike ports on its members."""
    status, state = await ask_one(address, wire_names.STATE_PATH)
    if status != 200:
        raise MeshError("ask registry", f"{wire_names.STATE_PATH}: status {status}", address)
    port = address.rpartition(":")[2]
    hosts = {str(member).rpartition(":")[0] for member in state.get("members", ())}
    return sorted({f"{host}:{port}" for host in hosts if host} | {address})


async def ask_all(address: str, path: str) -> tuple[list[tuple[int, dict]], list[str]]:
    """The answers of all registries, and those that gave none."""
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
