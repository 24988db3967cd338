"""The interface through which the parts of a registry access the registers of the stores."""

from typing import Protocol

from marblefold.inner_protocol.messages import messages_pb2

__all__ = ["RegisterClient"]


class RegisterClient(Protocol):
    """Reads and changes registers of the stores."""

    async def ask(
        self, kind: str, register: str, number: int = 0, value: bytes = b""
    ) -> messages_pb2.RegisterAnswer:
        """Calls a store and returns what a majority of the stores holds afterwards.

        kind: a RegisterCallKind.
        number: the register's number that the change is fenced by.
        Raises a MeshError if no store answers in time; the change may then have
        taken effect, or may still do so.
        """
        ...
