"""The interface between the connection of a client and the server that accepted it."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TYPE_CHECKING, Protocol

from marblefold.http_connections.answer import Answer
from marblefold.http_connections.client_request import ClientRequest

if TYPE_CHECKING:
    from marblefold.http_connections.client_connection import ClientConnection

__all__ = ["ConnectionServer"]


class ConnectionServer(Protocol):
    """The interface of the server that accepted a connection."""

    is_leaving: bool
    header_bytes: int

    def on_connection_made(self, connection: ClientConnection) -> None: ...

    def on_connection_lost(self, connection: ClientConnection) -> None: ...

    def handle(self, request: ClientRequest) -> Awaitable[Answer]: ...

    def may_run_concurrently(self, request: ClientRequest) -> bool: ...
