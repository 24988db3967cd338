"""Answers the heartbeats with which a registry checks whether it reaches a majority."""

from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.acceptor import Acceptor, VotingStatus
from marblefold.register_store.call_kinds import Outcome

__all__ = ["answer_heartbeat"]


def answer_heartbeat(acceptor: Acceptor) -> messages_pb2.RegisterAnswer:
    """Reports whether this store may vote now, and in which view; writes nothing.

    A store with a pending view may not vote: a majority of the members of a
    replaced view accepted its successor, so they never form a quorum of it again.
    """
    has_vote = (
        acceptor.voting_status is VotingStatus.VOTING
        and acceptor.is_member
        and not acceptor.has_pending_view
    )
    return messages_pb2.RegisterAnswer(
        outcome=Outcome.APPLIED if has_vote else Outcome.UNKNOWN, value=acceptor.pack_view()
    )
