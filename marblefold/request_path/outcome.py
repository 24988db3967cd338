"""The possible outcomes of a hop."""

import enum
from typing import NamedTuple

from marblefold.http_connections.answer import Answer
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.request_path.pending_hop import PendingHop

__all__ = ["NO_SLOT", "HopOutcome", "HopResult", "TargetLoad", "make_refusal"]

# The step reported by a hop that was refused only because no slot became free.
NO_SLOT = "no slot in time"


class HopOutcome(enum.IntEnum):
    """What is known about the execution of the request when a hop has ended."""

    # The target ran the request and its answer is available.
    ANSWERED = 1
    # The request was not offered to a target, and this hop will not do so any more.
    NEVER_OFFERED = 2
    # The target was offered the request and stated that it did not run it.
    NOT_EXECUTED = 3
    # The request may have run, or may still be running.
    UNKNOWN = 4


class TargetLoad(NamedTuple):
    """The load of a target: requests running and waiting, and its slots."""

    running: int
    waiting: int
    slots: int


class HopResult(NamedTuple):
    """The result of a hop; `retry_after` and `service_seconds` are in seconds.

    `pending` is set if the peer is unresponsive: the hop may still be answered.
    """

    outcome: HopOutcome
    answer: Answer | None = None
    retry_after: float = 0.0
    step: str = ""
    load: TargetLoad | None = None
    service_seconds: float = 0.0
    pending: PendingHop | None = None


def make_refusal(step: str, retry_after: float):
    """Builds the AnswerHead of a hop that was not offered; `retry_after` is in seconds."""
    return messages_pb2.AnswerHead(
        outcome=HopOutcome.NEVER_OFFERED, step=step, retry_after_ms=int(retry_after * 1000)
    )
