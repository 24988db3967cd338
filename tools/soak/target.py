"""A fake target that follows the published protocol and records the requests it receives."""

import asyncio
import itertools
import json
import random
import time

from tools.soak.http_call import make_body, send_request
from tools.soak.layout import (
    COLD_START_SECONDS,
    HEARTBEAT_INTERVAL_SECONDS,
    MAX_COLD_REQUESTS_PER_SECOND,
    Machine,
)

__all__ = ["LONG_ANSWER_BYTES", "Target"]

_CAPACITY_SLOTS = 8
# The answer to a path that ends with "long": more than a proxy buffers.
LONG_ANSWER_BYTES = 700_000
_PIECE_BYTES, _PIECE_SECONDS = 64 * 1024, 0.09
_INSTANCE_NUMBERS = itertools.count(1)
# Some heartbeats are delayed by a random time of up to this length.
_MAX_HEARTBEAT_DELAY_SECONDS = 2.0
_DELAYED_HEARTBEAT_RATIO = 0.2


class Target:
    """The target of one machine, with a new instance id after each start.

    All times are seconds of the monotonic clock.
    """

    def __init__(self, machine: Machine, executions: dict[str, int], rng: random.Random) -> None:
        self.machine = machine
        # Number of executions of each request, over all targets.
        self._executions = executions
        self._rng = rng
        self.instance = ""
        self.cold_until = 0.0
        # The largest number of requests within one second while the target was cold.
        self.peak_cold_requests_per_second = 0
        self.lost_response_ratio = 0.0
        # Requests that arrived with another body than their client sent.
        self.damaged_bodies: list[str] = []
        self._arrival_times: list[float] = []
        self._cold_since = 0.0
        self._running = 0
        self._call_sequence = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self, is_cold: bool) -> None:
        """Starts a new instance unless one is running; `is_cold` if it starts under traffic."""
        if self._server is not None:
            return
        self.instance = f"i-{next(_INSTANCE_NUMBERS)}"
        self._arrival_times.clear()
        self._call_sequence = itertools.count(1)
        self.cold_until = 0.0
        self._server = await asyncio.start_server(
            self._serve, self.machine.host, self.machine.application_port
        )
        if is_cold:
            self.go_cold()

    async def crash(self) -> None:
        """Closes the listener and aborts all connections, without withdrawing the target."""
        server, self._server = self._server, None
        if server is not None:
            server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def go_cold(self) -> None:
        """Becomes cold and starts a heartbeat that reports it."""
        now = time.monotonic()
        if now > self.cold_until:
            self._cold_since = now
        self.cold_until = now + COLD_START_SECONDS
        self._spawn(self._send_heartbeat())

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        while True:
            if self._server is not None:
                self._spawn(self._send_heartbeat())
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    def _spawn(self, run) -> None:
        task = asyncio.get_running_loop().create_task(run)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _cold_remaining_ms(self) -> int:
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    async def _send_heartbeat(self) -> None:
        machine = self.machine
        path = f"/mesh/targets/{self.instance}"
        body = {
            "upstream": machine.service,
            "address": f"{machine.host}:{machine.application_port}",
            "zone": machine.zone,
            "capacity-slots": _CAPACITY_SLOTS,
            "state": "ready",
            "cold-remaining-ms": self._cold_remaining_ms(),
            "call-sequence": next(self._call_sequence),
        }
        if self._rng.random() < _DELAYED_HEARTBEAT_RATIO:
            await asyncio.sleep(self._rng.uniform(0.0, _MAX_HEARTBEAT_DELAY_SECONDS))
        await send_request(
            (machine.host, machine.control_port), "PUT", path, body=json.dumps(body).encode()
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head.rstrip("\r\n").split("\r\n")
                headers = dict(line.split(": ", 1) for line in lines)
                body = await reader.readexactly(int(headers.get("Content-Length", 0)))
                self._check_body(headers.get("Attempt-Id", ""), body)
                answer = await self._answer(first.split(" ")[1], headers)
                if answer is None:
                    writer.transport.abort()
                    return
                await _write_answer(writer, answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, path: str, headers: dict[str, str]) -> bytes | None:
        """Returns the response, or None if it is to be lost."""
        if path == "/health":
            return (
                f"HTTP/1.1 200 OK\r\nInstance-Id: {self.instance}\r\n"
                f"Server-Load: {self._running},0,{_CAPACITY_SLOTS}\r\n"
                f"Cold-Ms: {self._cold_remaining_ms()}\r\n"
                "Content-Length: 0\r\n\r\n"
            ).encode()
        if headers.get("Expected-Instance") != self.instance:
            return b"HTTP/1.1 421 no\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        self._record_arrival()
        if self._running >= _CAPACITY_SLOTS:
            return b"HTTP/1.1 503 no\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        attempt = headers["Attempt-Id"]
        self._executions[attempt] = self._executions.get(attempt, 0) + 1
        self._running += 1
        try:
            await asyncio.sleep(self._rng.uniform(0.002, 0.03))
        finally:
            self._running -= 1
        if self._rng.random() < self.lost_response_ratio:
            return None
        is_long = path.endswith("long")
        body = make_body(attempt, LONG_ANSWER_BYTES) if is_long else f"done {attempt}".encode()
        head = (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: s-{attempt}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    def _check_body(self, attempt: str, body: bytes) -> None:
        if body != make_body(attempt, len(body)):
            self.damaged_bodies.append(attempt)

    def _record_arrival(self) -> None:
        now = time.monotonic()
        if now > self.cold_until:
            self._arrival_times.clear()
            return
        self._arrival_times = [
            at for at in self._arrival_times if now - at < 1.0 and at >= self._cold_since
        ]
        self._arrival_times.append(now)
        self.peak_cold_requests_per_second = max(
            self.peak_cold_requests_per_second, len(self._arrival_times)
        )

    @property
    def exceeded_cold_limit(self) -> bool:
        """Whether the target got more requests within a second than allowed while cold."""
        return self.peak_cold_requests_per_second > MAX_COLD_REQUESTS_PER_SECOND


async def _write_answer(writer: asyncio.StreamWriter, answer: bytes) -> None:
    """Writes a short answer at once, and a long one as a slow target does."""
    for start in range(0, len(answer), _PIECE_BYTES):
        if start:
            await asyncio.sleep(_PIECE_SECONDS)
        writer.write(answer[start : start + _PIECE_BYTES])
