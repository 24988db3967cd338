"""A client that uses its connection until the proxy has closed it."""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass, field

from tools.soak.http_call import make_body
from tools.soak.layout import SERVICES, Machine
from tools.soak.target import LONG_ANSWER_BYTES

__all__ = ["KeptConnection", "PlannedResults", "SentRequest"]

_DEADLINE_MS = 1500
_ANSWER_TIMEOUT_SECONDS = 6.0
_MAX_PIPELINED_READS = 3
_UPLOAD_BYTES = (17_000, 200_000)
_RECONNECT_SECONDS = 0.05


@dataclass
class SentRequest:
    """One request; `status` is 0 as long as no whole answer has arrived."""

    attempt: str
    is_mutating: bool
    expected_body: bytes
    sent_at: float
    status: int = 0
    is_wrong: bool = False
    # Whether its connection ended at its deadline, or at that of a request ahead of it.
    is_overdue: bool = False


@dataclass
class PlannedResults:
    """All requests of the clients, by attempt id."""

    requests: dict[str, SentRequest] = field(default_factory=dict)

    @property
    def served(self) -> int:
        """The number of requests with a success status."""
        return sum(1 for request in self.requests.values() if 200 <= request.status < 300)


class KeptConnection:
    """Sends reads, several at a time, orders and uploads, one batch after the other."""

    _numbers = itertools.count(1)

    def __init__(self, machines: list[Machine], results: PlannedResults, rng: random.Random):
        self._machines = machines
        self._results = results
        self._rng = rng
        self._is_stopping = False

    def stop(self) -> None:
        """Sends nothing new; the answers to what was sent are still read."""
        self._is_stopping = True

    async def run(self) -> None:
        """Uses one connection after the other, each until it ends."""
        while not self._is_stopping:
            machine = self._rng.choice(self._machines)
            try:
                reader, writer = await asyncio.open_connection(machine.host, machine.outbound_port)
            except OSError:
                await asyncio.sleep(_RECONNECT_SECONDS)
                continue
            try:
                await self._use(reader, writer)
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                await asyncio.sleep(_RECONNECT_SECONDS)
            finally:
                writer.close()

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while not self._is_stopping:
            batch = [self._write_request(writer, is_alone=self._rng.random() < 0.5)]
            while not batch[0].is_mutating and len(batch) < self._rng.randint(
                1, _MAX_PIPELINED_READS
            ):
                await asyncio.sleep(self._rng.uniform(0.0, 0.02))
                batch.append(self._write_request(writer, is_alone=False))
            try:
                for request in batch:
                    async with asyncio.timeout(_ANSWER_TIMEOUT_SECONDS):
                        if await self._read_answer(reader, request):
                            return
            except (OSError, asyncio.IncompleteReadError):
                _note_overdue(batch)
                raise
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))

    def _write_request(self, writer: asyncio.StreamWriter, is_alone: bool) -> SentRequest:
        """Writes a read, or an order or upload if it is the only request of its batch."""
        attempt = f"k{next(self._numbers)}"
        service = self._rng.choice(SERVICES)
        is_mutating = is_alone and self._rng.random() < 0.5
        body, tail, expected = b"", "x", f"done {attempt}".encode()
        if is_mutating:
            size = self._rng.randint(*_UPLOAD_BYTES) if self._rng.random() < 0.4 else 5
            body = make_body(attempt, size)
        elif self._rng.random() < 0.05:
            tail, expected = "long", make_body(attempt, LONG_ANSWER_BYTES)
        method, kind = ("POST", "mutating") if is_mutating else ("GET", "read_only")
        head = (
            f"{method} /{kind}/{service}/{tail} HTTP/1.1\r\nHost: shop\r\n"
            f"Attempt-Id: {attempt}\r\nDeadline-Ms: {_DEADLINE_MS}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        request = SentRequest(attempt, is_mutating, expected, time.monotonic())
        self._results.requests[attempt] = request
        return request

    async def _read_answer(self, reader: asyncio.StreamReader, request: SentRequest) -> bool:
        """Reads the answer; returns whether the connection ends behind it."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        first, *lines = head.rstrip("\r\n").split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines)
        if headers.get("transfer-encoding") == "chunked":
            body = await _read_chunked(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
        request.status = int(first.split(" ")[1])
        if 200 <= request.status < 300:
            request.is_wrong = body != request.expected_body
        return headers.get("connection") == "close"


def _note_overdue(batch: list[SentRequest]) -> None:
    """Marks what a connection left unanswered that ended as a deadline was reached.

    Nothing can be sent behind an answer that breaks off, so those behind it end with it.
    """
    deadline_seconds = _DEADLINE_MS / 1000
    unanswered = [request for request in batch if not request.status]
    if unanswered and time.monotonic() - unanswered[0].sent_at >= deadline_seconds:
        for request in unanswered:
            request.is_overdue = True


async def _read_chunked(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    return body
