"""Ballots and what a register holds, as tuples that compare."""

from typing import NamedTuple

from marblefold.inner_protocol.messages import kinds

__all__ = ["Ballot", "Holding", "NO_BALLOT", "NOTHING", "pack_holding", "read_holding"]


class Ballot(NamedTuple):
    """The order of proposals; the proposer makes it unique."""

    counter: int
    proposer: str

    def pack(self) -> kinds.Ballot:
        """The ballot as a message."""
        return kinds.Ballot(counter=self.counter, proposer=self.proposer)

    @classmethod
    def read(cls, message: kinds.Ballot) -> "Ballot":
        """The ballot in a message."""
        return cls(message.counter, message.proposer)


NO_BALLOT = Ballot(0, "")


class Holding(NamedTuple):
    """What an acceptor promised and accepted for one register."""

    promised: Ballot
    ballot: Ballot
    number: int
    value: bytes
    # The ids of the last orders that changed the register, oldest first.
    orders: tuple[bytes, ...] = ()


NOTHING = Holding(NO_BALLOT, NO_BALLOT, 0, b"")


def pack_holding(register: str, holding: Holding) -> kinds.Accepted:
    """The holding as a message."""
    return kinds.Accepted(
        register=register,
        ballot=holding.ballot.pack(),
        number=holding.number,
        value=holding.value,
        promised=holding.promised.pack(),
        orders=holding.orders,
    )


def read_holding(message: kinds.Accepted) -> Holding:
    """The holding in a message."""
    return Holding(
        Ballot.read(message.promised),
        Ballot.read(message.ballot),
        message.number,
        message.value,
        tuple(message.orders),
    )
