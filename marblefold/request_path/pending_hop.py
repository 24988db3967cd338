"""A hop whose peer is unresponsive, but which may still be answered."""

import asyncio
from typing import Protocol

from marblefold.errors import MeshError
from marblefold.http_connections.answer import Answer
from marblefold.inner_protocol.exchange import Exchange
from marblefold.inner_protocol.messages import messages_pb2

__all__ = ["PendingHop"]


class AnswerReader(Protocol):
    """Reads the AnswerHead of a hop; returns None if it holds no answer of a target."""

    def __call__(self, head, exchange: Exchange) -> Answer | None: ...


class PendingHop:
    """A hop that was sent and neither answered nor cancelled."""

    def __init__(self, exchange: Exchange, read_answer: AnswerReader) -> None:
        self._exchange = exchange
        self._read_answer = read_answer
        self._is_over = False

    @property
    def arrival(self) -> asyncio.Future[bytes]:
        """Done once the hop is answered, or failed with its connection."""
        return self._exchange.answer

    def take_answer(self) -> Answer | None:
        """Returns the target's answer once `arrival` is done; None if the hop has none."""
        self._is_over = True
        try:
            head = messages_pb2.AnswerHead.FromString(self.arrival.result())
        except MeshError:
            return None
        if not head.body_follows:
            self._exchange.close()
        return self._read_answer(head, self._exchange)

    def cancel(self) -> None:
        """Cancels the hop at the peer, unless it is over."""
        if not self._is_over:
            self._is_over = True
            self._exchange.cancel()
