"""What a registry may ask of a store, and what comes of it: the one home of both.

Each member is the very text that stands in `RegisterCall.kind` and
`RegisterAnswer.outcome`, so that messages of earlier versions stay readable.
"""

import enum

__all__ = ["Outcome", "RegisterCallKind"]


class RegisterCallKind(enum.StrEnum):
    """What is asked of a register."""

    # Reads through a majority and changes nothing.
    DESCRIBE = "describe"
    # Receives all that is chosen, from now on.
    WATCH = "watch"
    # Whether the store has a vote now, and in which view; costs no write.
    HEARTBEAT = "heartbeat"
    # The highest number holds, with the content that came first under it.
    CONFIGURATION = "configuration"
    # The rest changes the register only at the number that the caller read.
    EVACUATION = "evacuation"
    MAINTENANCE = "maintenance"
    DUTY = "duty"
    WINDOW_EMPTY = "window-empty"
    WINDOW_RELEASE = "window-release"


class Outcome(enum.StrEnum):
    """What came of an order, as far as a majority of the stores knows."""

    # It was taken: it holds, or it did until a later order replaced it.
    APPLIED = "held"
    # Something newer holds, and this order changes nothing, now or later.
    SUPERSEDED = "overtaken"
    # Another content holds under the same number; this one was never confirmed.
    CONFLICT = "conflict"
    # No majority answered in time: it may or may not be taken.
    UNKNOWN = "unknown"

    @classmethod
    def read(cls, text: str) -> "Outcome":
        """The outcome in an answer; what is none of ours is not clear."""
        try:
            return cls(text)
        except ValueError:
            return cls.UNKNOWN
