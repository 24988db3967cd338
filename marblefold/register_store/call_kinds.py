"""The kinds of calls that a registry makes to a store, and their outcomes.

Each value is the text sent in `RegisterCall.kind` or `RegisterAnswer.outcome`
and must not change, so that messages of earlier versions stay readable.
"""

import enum

__all__ = ["Outcome", "RegisterCallKind"]


class RegisterCallKind(enum.StrEnum):
    """The operation that a call requests on a register."""

    # Reads through a majority and changes nothing.
    DESCRIBE = "describe"
    # Subscribes to all chosen contents and their changes.
    WATCH = "watch"
    # Asks whether the store may vote now, and in which view; needs no write.
    HEARTBEAT = "heartbeat"
    # The highest number wins, with the content that was chosen first under it.
    CONFIGURATION = "configuration"
    # The remaining kinds change the register only if its number is still the one
    # that the caller read.
    EVACUATION = "evacuation"
    MAINTENANCE = "maintenance"
    # Replaces a document, an owner or a leader.
    REPLACEMENT = "duty"
    WINDOW_EMPTY = "window-empty"
    WINDOW_RELEASE = "window-release"


class Outcome(enum.StrEnum):
    """The result of an order, as far as a majority of the stores knows."""

    # It took effect: it holds now, or did until a later order replaced it.
    APPLIED = "held"
    # Something newer holds; this order has no effect, now or later.
    SUPERSEDED = "overtaken"
    # Another content holds under the same number; this one was never acknowledged.
    CONFLICT = "conflict"
    # No majority answered in time: it may or may not take effect.
    UNKNOWN = "unknown"

    @classmethod
    def read(cls, text: str) -> "Outcome":
        """Decodes the outcome in an answer; an unrecognized text counts as UNKNOWN."""
        try:
            return cls(text)
        except ValueError:
            return cls.UNKNOWN
