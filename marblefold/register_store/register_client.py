"""How the parts of a registry reach the registers of the stores."""

from typing import Protocol

from marblefold.inner_protocol.messages import kinds

__all__ = ["RegisterClient"]


class RegisterClient(Protocol):
    """Reads and changes registers of the stores."""

    async def ask(
        self, kind: str, register: str, number: int = 0, value: bytes = b""
    ) -> kinds.RegisterAnswer:
        """What a majority of the stores holds after the call.

        kind: a RegisterCallKind.
        number: the register's number that the change is fenced by.
        Raises a MeshError if no store answers in time; it is then unclear whether
        a change took or will take effect.
        """
        ...
