"""What a store takes over from the members it reads: pure functions."""

from collections.abc import Iterable

from marblefold.inner_protocol.messages import kinds
from marblefold.register_store.ballots import NO_ACCEPTED_STATE, AcceptedState, read_accepted_state
from marblefold.register_store.generations import NO_GENERATION, later_generation
from marblefold.register_store.view import View

__all__ = ["find_unproven", "is_read_quorum", "merge_accepted_states", "merge_generations"]


def is_read_quorum(view: View, previous: View | None, reader: str, sources: Iterable[str]) -> bool:
    """Whether a member may vote after it has read these stores under the view.

    Either it met every majority of the view, whoever lost its disk; or it is
    new in the view, has never voted in it, and met every majority of the view
    before, whose members vote there no more.  The member that it replaces
    counts among these: what only that one held is not lost with it.
    """
    sources = set(sources) - {reader}
    if len(sources.intersection(view.members)) >= view.read_quorum:
        return True
    if previous is None or reader in previous.members:
        return False
    return len(sources.intersection(previous.members)) >= previous.majority


def merge_accepted_states(
    own: dict[str, AcceptedState], answers: Iterable[kinds.StoreAnswer]
) -> None:
    """Keeps the newest value of each register and the highest promise."""
    for answer in answers:
        for message in answer.accepted:
            other = read_accepted_state(message)
            held = own.get(message.register, NO_ACCEPTED_STATE)
            newer = other if other.ballot > held.ballot else held
            own[message.register] = newer._replace(promised=max(held.promised, other.promised))


def merge_generations(own: dict[str, str], answers: Iterable[kinds.StoreAnswer]) -> None:
    """Keeps the latest life of each store."""
    for answer in answers:
        for member, life in answer.lives.items():
            own[member] = later_generation(life, own.get(member, NO_GENERATION))


def find_unproven(holdings: dict[str, AcceptedState]) -> set[str]:
    """The registers whose value was copied although a higher ballot was promised.

    Whoever got that promise may not have seen the value: such a copy is no
    proof that a majority accepted the value under its ballot.
    """
    return {register for register, holding in holdings.items() if holding.promised > holding.ballot}
