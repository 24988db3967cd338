"""The calls of the command line tools, against a plain HTTP server on loopback."""

import asyncio
import json
from collections.abc import Callable

import pytest

from marblefold.errors import MeshError
from marblefold.registry_client import (
    RegistryCall,
    ask_all,
    ask_one,
    call_for_document,
    call_registry,
)


class Registry:
    """Answers each call with `answer(request line)`; records the request lines and bodies."""

    def __init__(self, answer: Callable[[str], tuple[int, bytes]]) -> None:
        self._answer = answer
        self.lines: list[str] = []
        self.bodies: list[bytes] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        line, *fields = head.strip().split("\r\n")
        lengths = [int(f.split(":")[1]) for f in fields if f.lower().startswith("content-length:")]
        self.lines.append(line)
        self.bodies.append(await reader.readexactly(sum(lengths)))
        status, body = self._answer(line)
        head = f"HTTP/1.1 {status} Any\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        writer.close()


def run(registry: Registry, call: Callable):
    """Serves a registry and returns the result of `call` with its address."""

    async def act():
        server = await asyncio.start_server(registry.serve, "127.0.0.1", 0)
        async with server:
            return await call(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")

    return asyncio.run(act())


def test_method_body_status_and_answer_are_passed_on():
    registry = Registry(lambda line: (409, b'{"held": 7}'))
    status, document = run(
        registry,
        lambda address: call_for_document(
            address, RegistryCall("PUT", "/mesh/owners", b'{"number": 6}')
        ),
    )
    assert (status, document) == (409, {"held": 7})
    assert registry.lines == ["PUT /mesh/owners HTTP/1.1"]
    assert registry.bodies == [b'{"number": 6}']


def test_answer_body_is_returned_unchanged():
    registry = Registry(lambda line: (200, b"no json"))
    assert run(registry, lambda address: call_registry(address, RegistryCall("GET", "/x"))) == (
        200,
        b"no json",
    )


def test_answer_that_is_not_json_raises_an_error_with_its_peer():
    with pytest.raises(MeshError) as caught:
        run(Registry(lambda line: (200, b"no json")), lambda address: ask_one(address, "/x"))
    assert caught.value.step == "ask registry"
    assert caught.value.peer.startswith("127.0.0.1:")


def test_missing_answer_raises_an_error():
    async def hang(_reader, _writer) -> None:
        await asyncio.sleep(3600)

    async def act() -> None:
        server = await asyncio.start_server(hang, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        try:
            with pytest.raises(MeshError, match="no answer in time"):
                await call_registry(address, RegistryCall("GET", "/x", seconds=0.2))
        finally:
            server.close()
        with pytest.raises(MeshError):
            await call_registry(address, RegistryCall("GET", "/x"))

    asyncio.run(act())


def test_silent_registries_are_named():
    # 127.0.0.2 is a member too, but nothing listens there.
    state = json.dumps({"members": ["127.0.0.1:1", "127.0.0.2:1"]}).encode()
    registry = Registry(lambda line: (200, state if "/mesh/state" in line else b"{}"))
    answers, silent = run(registry, lambda address: ask_all(address, "/x"))
    assert answers == [(200, {})]
    assert [address.partition(":")[0] for address in silent] == ["127.0.0.2"]
