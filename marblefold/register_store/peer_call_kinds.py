"""The kinds of calls between stores and the reasons for refusing one."""

import enum

__all__ = ["CallKind", "Refusal"]


class CallKind(enum.StrEnum):
    """The kind of a call between stores; its value is sent over the wire."""

    # Phase one and phase two of a ballot (Paxos prepare and accept).
    PREPARE = "prepare"
    ACCEPT = "accept"
    # Asks for the accepted state of one register, without a promise.
    STATE = "state"
    # A member that may have lost its disk asks for all accepted states.
    READ = "read"
    # A store outside the view asks to become a member.
    JOIN = "join"
    # Anti-entropy over the chosen registers; `agreed` to a digest: both know the same.
    COMPARE = "compare"
    # Asks whether a change of members may start, and whether a member is unreachable.
    OPINION = "opinion"


class Refusal(enum.StrEnum):
    """Why a store refuses a call; the value is sent over the wire and logged."""

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
