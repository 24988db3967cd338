"""Sends and receives the prober's messages as UDP datagrams."""

import asyncio
import time
from typing import Any, cast

from marblefold.inner_protocol.messages import kinds
from marblefold.logs import log
from marblefold.membership.members import Liveness, Member
from marblefold.membership.prober import Message, Prober
from marblefold.node_config.reading import Address

__all__ = ["MembershipSocket"]

_TICK_SECONDS = 0.02


def _pack(message: Message) -> bytes:
    return kinds.Probe(
        kind=message.kind,
        number=message.number,
        subject=message.subject,
        members=[
            kinds.Member(
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
    probe = kinds.Probe.FromString(data)
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
    """Owns the datagram socket of a node's membership."""

    def __init__(self, prober: Prober) -> None:
        self._prober = prober
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: str) -> None:
        """Binds to HOST:PORT. Raises OSError where the port is taken."""
        own = Address.parse(address)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(own.host, own.port))

    async def run(self) -> None:
        """Calls the prober when something is due, for ever."""
        while True:
            now = time.monotonic()
            self._send(self._prober.tick(now))
            # Sleeps until something is due instead of polling.
            await asyncio.sleep(max(_TICK_SECONDS, self._prober.next_due(now) - now))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str | Any, int]) -> None:
        try:
            message = _unpack(data, f"{address[0]}:{address[1]}")
        except Exception as error:
            log.info("datagram cannot be read", peer=str(address), reason=str(error))
            return
        self._send(self._prober.receive(message, time.monotonic()))

    def error_received(self, error: Exception) -> None:
        """Ignored: an unreachable port shows in unanswered probes as well."""

    def _send(self, messages: list[Message]) -> None:
        if self._transport is None:
            raise RuntimeError("membership socket used before it was started")
        for message in messages:
            host, _sign, port = message.peer.rpartition(":")
            self._transport.sendto(_pack(message), (host, int(port)))
