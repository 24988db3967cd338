"""Pure functions that merge the states which a recovering store reads from others."""

from collections.abc import Iterable

from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.ballots import NO_ACCEPTED_STATE, AcceptedState, read_accepted_state
from marblefold.register_store.generations import NO_GENERATION, later_generation
from marblefold.register_store.view import View

__all__ = ["find_unproven", "is_read_quorum", "merge_accepted_states", "merge_generations"]


def is_read_quorum(view: View, previous: View | None, reader: str, sources: Iterable[str]) -> bool:
    """Whether a member may vote after it has read from these stores under the view.

    Either the stores overlap with every majority of the view, whichever member
    lost its disk; or the reader is new in the view, has never voted in it, and
    the stores overlap with every majority of the previous view, whose members
    no longer vote there. The member that it replaces counts among these, so that
    state which only that one accepted is not lost.
    """
    sources = set(sources) - {reader}
    if len(sources.intersection(view.members)) >= view.read_quorum:
        return True
    if previous is None or reader in previous.members:
        return False
    return len(sources.intersection(previous.members)) >= previous.majority


def merge_accepted_states(
    local: dict[str, AcceptedState], answers: Iterable[messages_pb2.StoreAnswer]
) -> None:
    """Keeps the newest accepted value and the highest promise of each register."""
    for answer in answers:
        for message in answer.accepted:
            other = read_accepted_state(message)
            current = local.get(message.register, NO_ACCEPTED_STATE)
            newer = other if other.ballot > current.ballot else current
            local[message.register] = newer._replace(promised=max(current.promised, other.promised))


def merge_generations(local: dict[str, str], answers: Iterable[messages_pb2.StoreAnswer]) -> None:
    """Keeps the latest generation of each store."""
    for answer in answers:
        for member, generation in answer.lives.items():
            local[member] = later_generation(generation, local.get(member, NO_GENERATION))


def find_unproven(states: dict[str, AcceptedState]) -> set[str]:
    """Returns the registers whose value was copied although a higher ballot was promised.

    The proposer that received the promise may not have seen the value, so such a
    copy does not prove that a majority accepted the value under its ballot.
    """
    return {register for register, state in states.items() if state.promised > state.ballot}
