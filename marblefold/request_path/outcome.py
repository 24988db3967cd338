"""The closed set of ways a hop can end."""

import enum
from typing import NamedTuple

from marblefold.http_connections.answer import Answer
from marblefold.inner_protocol.messages import kinds

__all__ = ["NO_SLOT", "HopOutcome", "HopResult", "TargetLoad", "make_refusal"]

# The step of a hop that was refused only because no slot was free.
NO_SLOT = "no slot in time"


class HopOutcome(enum.IntEnum):
    """What is known of a hop when it is over."""

    # The target ran the request and its answer is available.
    ANSWERED = 1
    # No target was offered the request, and none will be by this hop.
    NEVER_OFFERED = 2
    # The target was offered the request and said that it did not run it.
    NOT_EXECUTED = 3
    # It may have run, or may run still.
    UNKNOWN = 4


class TargetLoad(NamedTuple):
    """The load of a target: requests running and waiting, and its slots."""

    running: int
    waiting: int
    slots: int


class HopResult(NamedTuple):
    """How a hop ended; retry_after and service_seconds are in seconds."""

    outcome: HopOutcome
    answer: Answer | None = None
    retry_after: float = 0.0
    step: str = ""
    load: TargetLoad | None = None
    service_seconds: float = 0.0


def make_refusal(step: str, retry_after: float):
    """The AnswerHead of a hop that was not offered; `retry_after` is in seconds."""
    return kinds.AnswerHead(
        outcome=HopOutcome.NEVER_OFFERED, step=step, retry_after_ms=int(retry_after * 1000)
    )
