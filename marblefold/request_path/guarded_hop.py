"""A hop at the guard of its target."""

from marblefold.inner_protocol.exchange import Exchange
from marblefold.request_path.slot_queue import QueuePriority

__all__ = ["GuardedHop"]


class GuardedHop:
    """A hop with its limits in the guard's clock; times are monotonic seconds."""

    def __init__(self, exchange: Exchange, head, arrived_at: float, span=None) -> None:
        """`span` is the hop's span, or None if it is not traced."""
        self.exchange = exchange
        self.head = head
        self.arrived_at = arrived_at
        self.span = span
        self.deadline = arrived_at + head.deadline_left_ms / 1000.0
        # The longest acceptable wait for a slot, or for the link, in seconds.
        self.max_wait = head.queue_left_ms / 1000.0
        # Ordered by rank, then by the earliest latency target: short calls, which other
        # running requests wait for, are not delayed by long ones.
        self.priority = QueuePriority(head.priority, arrived_at + head.aim_left_ms / 1000.0)
