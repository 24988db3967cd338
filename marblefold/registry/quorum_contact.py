"""Whether this registry is in contact with a majority of the stores.

Contact is a lease on the registry's own steady clock.  It is fed only by answers
of stores and counted from the *sending* of the heartbeat that was answered, so it
never claims more than a quorum said, however long the answer lay in a buffer
while this process was frozen.  A heartbeat travels behind the store's updates on one
connection: contact also means that the updates of a majority are taken in.  Without
new answers it runs out by itself: a registry that is cut off, or was asleep,
knows that it may be behind before it says anything.
"""

import time
from collections.abc import Callable
from typing import NamedTuple

from marblefold.register_store.view import View

__all__ = ["CONTACT_SECONDS", "QuorumContact"]

# How long an answered ask counts, from its sending.  Heartbeats go out three
# times as often, so that a lost one does not end the contact.
CONTACT_SECONDS = 1.5
_NEVER = float("-inf")


class _Vote(NamedTuple):
    """The newest heartbeat that a store answered as a voting member."""

    view: View
    asked_at: float


class QuorumContact:
    """Judges contact from the answers of stores; all times are steady seconds."""

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        on_change: Callable[[bool], None] = lambda is_held: None,
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        self._votes: dict[str, _Vote] = {}
        self._view: View | None = None
        # The sending of the oldest of the newest answers that made a majority.
        self._asked_at = _NEVER
        self._answered: dict[str, float] = {}
        self._was_held = False

    @property
    def is_held(self) -> bool:
        """Whether a majority answered heartbeats that left within CONTACT_SECONDS."""
        return self._clock() - self._asked_at < CONTACT_SECONDS

    def record_vote(self, store: str, view: View, asked_at: float) -> None:
        """A store answered a heartbeat: it is a voting member of the view."""
        self._answered[store] = max(asked_at, self._answered.get(store, _NEVER))
        held = self._votes.get(store)
        if held is None or held.asked_at < asked_at:
            self._votes[store] = _Vote(view, asked_at)
        # A view is numbered by ballot: of two known ones the higher was chosen later.
        if self._view is None or view.number > self._view.number:
            self._view = view
        # What a majority once said holds for its time, also while the view changes.
        self._asked_at = max(self._asked_at, self._find_quorum_time())
        self.notify_change()

    def record_refusal(self, store: str, asked_at: float) -> None:
        """A store answered a heartbeat, but has no vote now."""
        self._answered[store] = max(asked_at, self._answered.get(store, _NEVER))
        held = self._votes.get(store)
        if held is not None and held.asked_at < asked_at:
            del self._votes[store]

    def is_silent(self, store: str) -> bool:
        """Whether the store has left heartbeats of the last CONTACT_SECONDS unanswered."""
        return self._clock() - self._answered.get(store, _NEVER) >= CONTACT_SECONDS

    def notify_change(self) -> None:
        """Reports a contact that was gained or has run out, once."""
        if self.is_held != self._was_held:
            self._was_held = not self._was_held
            self._on_change(self._was_held)

    def _find_quorum_time(self) -> float:
        """The sending of the oldest of the newest answers that make a majority."""
        view = self._view
        if view is None:
            return _NEVER
        times = sorted(
            (
                vote.asked_at
                for store, vote in self._votes.items()
                if store in view.members and vote.view == view
            ),
            reverse=True,
        )
        return times[view.majority - 1] if len(times) >= view.majority else _NEVER
