"""Ballots and the accepted state of a register, as comparable tuples."""

from typing import NamedTuple

from marblefold.inner_protocol.messages import messages_pb2

__all__ = [
    "AcceptedState",
    "Ballot",
    "NO_ACCEPTED_STATE",
    "NO_BALLOT",
    "pack_accepted_state",
    "read_accepted_state",
]


class Ballot(NamedTuple):
    """A proposal number: ordered by its counter, made unique by the proposer's name."""

    counter: int
    proposer: str

    def pack(self) -> messages_pb2.Ballot:
        """Returns the ballot as a message."""
        return messages_pb2.Ballot(counter=self.counter, proposer=self.proposer)

    @classmethod
    def read(cls, message: messages_pb2.Ballot) -> "Ballot":
        """Returns the ballot in a message."""
        return cls(message.counter, message.proposer)


NO_BALLOT = Ballot(0, "")


class AcceptedState(NamedTuple):
    """The ballot that an acceptor promised for one register, and the value it accepted."""

    promised: Ballot
    ballot: Ballot
    number: int
    value: bytes
    # Ids of the last orders that changed the register, oldest first.
    orders: tuple[bytes, ...] = ()


NO_ACCEPTED_STATE = AcceptedState(NO_BALLOT, NO_BALLOT, 0, b"")


def pack_accepted_state(register: str, state: AcceptedState) -> messages_pb2.Accepted:
    """Returns the state of a register as a message."""
    return messages_pb2.Accepted(
        register=register,
        ballot=state.ballot.pack(),
        number=state.number,
        value=state.value,
        promised=state.promised.pack(),
        orders=state.orders,
    )


def read_accepted_state(message: messages_pb2.Accepted) -> AcceptedState:
    """Returns the accepted state in a message."""
    return AcceptedState(
        Ballot.read(message.promised),
        Ballot.read(message.ballot),
        message.number,
        message.value,
        tuple(message.orders),
    )
