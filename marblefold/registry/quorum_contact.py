"""Whether this registry is in contact with a majority of the stores.

Contact is a lease on the registry's own monotonic clock.  Only answers of stores
extend it, counted from the *sending* of the heartbeat that was answered, so it never
outlasts what a quorum confirmed, however long the answer was buffered while this
process was paused.  A heartbeat's answer follows the store's updates on the same
connection, so contact also means that the updates of a majority have been applied.
Without new answers the lease expires: a registry that is partitioned, or was paused,
knows that its state may be outdated before it sends anything.
"""

import time
from collections.abc import Callable
from typing import NamedTuple

from marblefold.register_store.view import View

__all__ = ["CONTACT_SECONDS", "QuorumContact"]

# How long an answered heartbeat counts, from its sending.  Heartbeats are sent three
# times as often, so that a lost one does not end the contact.
CONTACT_SECONDS = 1.5
_NEVER = float("-inf")


class _Vote(NamedTuple):
    """The newest heartbeat that a store answered as a voting member."""

    view: View
    sent_at: float


class QuorumContact:
    """Derives contact from the answers of stores; all times are monotonic seconds."""

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        on_change: Callable[[bool], None] = lambda is_held: None,
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        self._votes: dict[str, _Vote] = {}
        self._view: View | None = None
        # When the oldest heartbeat of the newest answered majority was sent.
        self._quorum_sent_at = _NEVER
        self._last_answered_sent_at: dict[str, float] = {}
        self._was_held = False

    @property
    def is_held(self) -> bool:
        """Whether a majority answered heartbeats sent within the last CONTACT_SECONDS."""
        return self._clock() - self._quorum_sent_at < CONTACT_SECONDS

    def record_vote(self, store: str, view: View, sent_at: float) -> None:
        """Records that a store answered a heartbeat as a voting member of the view."""
        self._last_answered_sent_at[store] = max(
            sent_at, self._last_answered_sent_at.get(store, _NEVER)
        )
        latest = self._votes.get(store)
        if latest is None or latest.sent_at < sent_at:
            self._votes[store] = _Vote(view, sent_at)
        # Views are numbered by ballot: of two views, the one with the higher number was
        # chosen later.
        if self._view is None or view.number > self._view.number:
            self._view = view
        # Contact that a majority confirmed lasts its full time even if the view changes.
        self._quorum_sent_at = max(self._quorum_sent_at, self._find_quorum_time())
        self.notify_change()

    def record_refusal(self, store: str, sent_at: float) -> None:
        """Records that a store answered a heartbeat but has no vote now."""
        self._last_answered_sent_at[store] = max(
            sent_at, self._last_answered_sent_at.get(store, _NEVER)
        )
        latest = self._votes.get(store)
        if latest is not None and latest.sent_at < sent_at:
            del self._votes[store]

    def is_silent(self, store: str) -> bool:
        """Whether the store answered no heartbeat sent within the last CONTACT_SECONDS."""
        return self._clock() - self._last_answered_sent_at.get(store, _NEVER) >= CONTACT_SECONDS

    def notify_change(self) -> None:
        """Calls `on_change` once if contact was gained or has expired since the last call."""
        if self.is_held != self._was_held:
            self._was_held = not self._was_held
            self._on_change(self._was_held)

    def _find_quorum_time(self) -> float:
        """When the oldest heartbeat of the newest answered majority was sent."""
        view = self._view
        if view is None:
            return _NEVER
        times = sorted(
            (
                vote.sent_at
                for store, vote in self._votes.items()
                if store in view.members and vote.view == view
            ),
            reverse=True,
        )
        return times[view.majority - 1] if len(times) >= view.majority else _NEVER
