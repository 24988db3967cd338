"""Sends and receives messages of the prober as UDP datagrams."""

import asyncio
import time
from typing import Any, cast

from marblefold.inner_protocol.messages import messages_pb2
from marblefold.logs import log
from marblefold.membership.members import Liveness, Member
from marblefold.membership.prober import Message, Prober
from marblefold.node_config.reading import Address

__all__ = ["MembershipSocket"]

_MIN_SLEEP_SECONDS = 0.02


def _pack(message: Message) -> bytes:
    return messages_pb2.Probe(
        kind=message.kind,
        number=message.number,
        subject=message.subject,
        members=[
            messages_pb2.Member(
                address=member.address,
                node=member.node,
                role=member.role,
                zone=member.zone,
                life=member.generation,
                incarnation=member.incarnation,
                state=member.liveness.name,
            )
            for member in message.members
        ],
    ).SerializeToString()


def _unpack(data: bytes, peer: str) -> Message:
    probe = messages_pb2.Probe.FromString(data)
    return Message(
        peer,
        probe.kind,
        probe.number,
        probe.subject,
        tuple(
            Member(
                member.address,
                member.node,
                member.role,
                member.zone,
                member.life,
                member.incarnation,
                Liveness[member.state],
            )
            for member in probe.members
        ),
    )


class MembershipSocket(asyncio.DatagramProtocol):
    """The UDP socket that connects a prober with the network."""

    def __init__(self, prober: Prober) -> None:
        self._prober = prober
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: str) -> None:
        """Binds to HOST:PORT. Raises OSError if the port is in use."""
        own = Address.parse(address)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(own.host, own.port))

    async def run(self) -> None:
        """Calls the prober whenever something is due; never returns."""
        while True:
            now = time.monotonic()
            self._send(self._prober.tick(now))
            # Sleeps until the next due time instead of polling.
            await asyncio.sleep(max(_MIN_SLEEP_SECONDS, self._prober.next_due(now) - now))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str | Any, int]) -> None:
        try:
            message = _unpack(data, f"{address[0]}:{address[1]}")
        except Exception as error:
            log.info("datagram could not be decoded", peer=str(address), reason=str(error))
            return
        self._send(self._prober.receive(message, time.monotonic()))

    def error_received(self, error: Exception) -> None:
        """Ignores the error: an unreachable port also shows as unacknowledged probes."""

    def _send(self, messages: list[Message]) -> None:
        if self._transport is None:
            raise RuntimeError("membership socket used before it was started")
        for message in messages:
            host, _separator, port = message.peer.rpartition(":")
            self._transport.sendto(_pack(message), (host, int(port)))
