"""The cheap call by which a registry finds out whether it reaches a majority."""

from marblefold.inner_protocol.messages import kinds
from marblefold.register_store.acceptor import Acceptor, Standing
from marblefold.register_store.call_kinds import Outcome

__all__ = ["answer_heartbeat"]


def answer_heartbeat(acceptor: Acceptor) -> kinds.RegisterAnswer:
    """Whether this store has a vote now, and in which view; costs no write.

    A store that accepted a view which may be chosen has none: of the members of
    a replaced view a majority did, so they never make a quorum of it again.
    """
    has_vote = (
        acceptor.voting_status is Standing.VOTING
        and acceptor.is_member
        and not acceptor.has_pending_view
    )
    return kinds.RegisterAnswer(
        outcome=Outcome.HELD if has_vote else Outcome.UNKNOWN, value=acceptor.pack_view()
    )
