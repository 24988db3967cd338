"""The kinds of calls between stores and the reasons for refusing one."""

import enum

__all__ = ["CallKind", "Refusal"]


class CallKind(enum.StrEnum):
    """What one store asks of another; the text goes over the wire."""

    # Phase one and phase two of a ballot.
    PREPARE = "prepare"
    ACCEPT = "accept"
    # A member that may have lost its disk asks for everything that is held.
    READ = "read"
    # A store outside the view asks for a place in it.
    JOIN = "join"
    # Exchanges the chosen registers; agreed: the callee votes in the caller's view.
    COMPARE = "compare"
    # Whether a change of members may start, and whether a member is gone.
    OPINION = "opinion"


class Refusal(enum.StrEnum):
    """Why a store refuses a call; the text goes over the wire and into logs."""

    NONE = ""
    PROMISED_HIGHER = "promised higher"
    DOES_NOT_VOTE = "does not vote"
    ANOTHER_VIEW = "another view"
    VIEW_IS_CHANGING = "view is changing"
    PAST_GENERATION = "counts on a past life"
    NO_PROMISE = "counts on no promise"
    READER_OF_PAST_GENERATION = "a past life"
    UNREADABLE = "cannot be read now"
    WAIT = "wait"
    UNKNOWN_CALL = "no such call"
