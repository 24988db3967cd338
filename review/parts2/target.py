"""A target that keeps to the published protocol: beats, health, seals, and slots.

It works as long as the path says: the part "wMS" of a path asks for MS milliseconds,
and "pMS" for a long answer that is sent over MS milliseconds.
"""

import asyncio
import contextlib
import itertools
import json
import re
import time

from review.parts2.fleet import APPLICATION, BEAT_SECONDS, CONTROL, Machine
from review.parts2.http import Record, call

SLOTS = 9
# A target resets connections beyond so many, and closes those that are idle for so long.
MAX_CONNECTIONS = 110
IDLE_SECONDS = 75
LONG_ANSWER_BYTES = 640_000
_NUMBERS = itertools.count(1)


class Run:
    """One request that a target began to work on."""

    def __init__(self, attempt: str, target: str, caller: str, path: str, deadline: str) -> None:
        self.attempt, self.target, self.caller, self.path = attempt, target, caller, path
        self.deadline = deadline
        self.began = time.monotonic()
        self.ended: float | None = None
        # "" while at work, "answered", or "dropped" when the connection closed meanwhile.
        self.end = ""


class Target:
    """The target of one machine."""

    def __init__(self, machine: Machine, runs: list[Run], record: Record) -> None:
        self.machine, self.runs, self.record = machine, runs, record
        self.instance = f"i-{machine.name}-{next(_NUMBERS)}"
        self.state = "ready"
        self.running = 0
        self.open_connections = self.peak_connections = self.reset_connections = 0
        self.beats = True
        self.acknowledged: dict[str, float] = {}
        self._sequence = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.machine.host, APPLICATION)
        self._task = asyncio.create_task(self._beat())

    async def end(self) -> None:
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.close()

    async def beat_once(self) -> bool:
        body = json.dumps(
            {
                "upstream": self.machine.service,
                "address": f"{self.machine.host}:{APPLICATION}",
                "zone": self.machine.zone,
                "config-version": "v1",
                "capacity-slots": SLOTS,
                "state": self.state,
                "cold-remaining-ms": 0,
                "call-sequence": next(self._sequence),
            }
        ).encode()
        state = self.state
        answer = await call(
            (self.machine.host, CONTROL), "PUT", f"/mesh/targets/{self.instance}", body=body
        )
        is_acknowledged = 200 <= answer.status < 300
        if is_acknowledged and state not in self.acknowledged:
            self.acknowledged[state] = time.monotonic()
            self.record.note(f"{self.instance} ({self.machine.service}) acknowledged as {state}")
        return is_acknowledged

    async def _beat(self) -> None:
        while True:
            if self.beats:
                await self.beat_once()
            await asyncio.sleep(BEAT_SECONDS)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.open_connections >= MAX_CONNECTIONS:
            self.reset_connections += 1
            writer.transport.abort()
            return
        self.open_connections += 1
        self.peak_connections = max(self.peak_connections, self.open_connections)
        try:
            while True:
                async with asyncio.timeout(IDLE_SECONDS):
                    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.rstrip("\r\n").split("\r\n")
                headers = {n.lower(): v for n, v in (line.split(": ", 1) for line in lines)}
                if headers.get("transfer-encoding") == "chunked":
                    body = b""
                    while size := int(await reader.readuntil(b"\r\n"), 16):
                        body += (await reader.readexactly(size + 2))[:-2]
                    await reader.readexactly(2)
                else:
                    body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self._answer(reader, writer, first.split(" ")[1], headers, body)
        except (asyncio.IncompleteReadError, OSError, ValueError, TimeoutError):
            return
        except asyncio.CancelledError:
            # The case is over.
            return
        finally:
            self.open_connections -= 1
            writer.close()

    async def _answer(
        self, reader, writer, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        if path == "/health":
            status = "200 OK" if self.state == "ready" else "503 no"
            writer.write(
                f"HTTP/1.1 {status}\r\nInstance-Id: {self.instance}\r\n"
                f"Server-Load: {self.running},0,{SLOTS}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return
        attempt = headers.get("attempt-id", "")
        echo = (
            f"Attempt-Id: {attempt}\r\nServer-Load: {self.running},0,{SLOTS}\r\n"
            f"Keep-Alive: timeout={IDLE_SECONDS}\r\n"
        )
        if headers.get("expected-instance", self.instance) != self.instance:
            writer.write(
                f"HTTP/1.1 421 no\r\nNot-Executed: 1\r\n{echo}Content-Length: 0\r\n\r\n".encode()
            )
            return
        if self.running >= SLOTS:
            writer.write(
                f"HTTP/1.1 503 no\r\nNot-Executed: 1\r\n{echo}Content-Length: 0\r\n\r\n".encode()
            )
            return
        run = Run(
            attempt,
            self.instance,
            headers.get("caller-service", ""),
            path,
            headers.get("deadline-ms", ""),
        )
        self.runs.append(run)
        match = re.search(r"/w(\d+)", path)
        work = int(match[1]) / 1000 if match else 0.01
        self.running += 1
        # Like most targets, it drops a request once its connection closes.
        watch = asyncio.create_task(self._wait_until_closed(reader))
        try:
            done, _pending = await asyncio.wait({watch}, timeout=work)
        finally:
            watch.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watch
            self.running -= 1
            run.ended = time.monotonic()
        if done:
            run.end = "dropped"
            raise OSError("closed by the caller")
        run.end = "answered"
        long = re.search(r"/p(\d+)", path)
        text = f"done {attempt}".encode()
        if long:
            text = (text + b" ") * (LONG_ANSWER_BYTES // (len(text) + 1))
        writer.write(
            f"HTTP/1.1 200 OK\r\n{echo}Server-Seal: s.{attempt}.{self.instance}\r\n"
            f"Content-Length: {len(text)}\r\n\r\n".encode()
        )
        # A long answer is sent in ten pieces over the time that the path asks for.
        piece = len(text) // 10 + 1 if long else len(text)
        for start in range(0, len(text), piece):
            writer.write(text[start : start + piece])
            if long:
                await writer.drain()
                await asyncio.sleep(int(long[1]) / 10000)

    async def _wait_until_closed(self, reader: asyncio.StreamReader) -> None:
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.02)
