"""Ballots and what a register holds, as tuples that compare."""

from typing import NamedTuple

from marblefold.inner_protocol.messages import kinds

__all__ = [
    "Ballot",
    "AcceptedState",
    "NO_BALLOT",
    "NO_ACCEPTED_STATE",
    "pack_accepted_state",
    "read_accepted_state",
]


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


class AcceptedState(NamedTuple):
    """What an acceptor promised and accepted for one register."""

    promised: Ballot
    ballot: Ballot
    number: int
    value: bytes
    # The ids of the last orders that changed the register, oldest first.
    orders: tuple[bytes, ...] = ()


NO_ACCEPTED_STATE = AcceptedState(NO_BALLOT, NO_BALLOT, 0, b"")


def pack_accepted_state(register: str, holding: AcceptedState) -> kinds.Accepted:
    """The holding as a message."""
    return kinds.Accepted(
        register=register,
        ballot=holding.ballot.pack(),
        number=holding.number,
        value=holding.value,
        promised=holding.promised.pack(),
        orders=holding.orders,
    )


def read_accepted_state(message: kinds.Accepted) -> AcceptedState:
    """The holding in a message."""
    return AcceptedState(
        Ballot.read(message.promised),
        Ballot.read(message.ballot),
        message.number,
        message.value,
        tuple(message.orders),
    )
