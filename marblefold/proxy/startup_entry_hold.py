"""Delays entries from registries without a majority after a proxy has started.

A partitioned registry may hold an older configuration, and a proxy without any state
cannot detect that.  Records written by operators are therefore held until a registry in
contact with a majority has sent its entries.  If none is found in time, this proxy is
partitioned as well and applies what it received, as a long-running proxy would.
"""

from collections.abc import Iterable

from marblefold.inner_protocol.messages import messages_pb2

__all__ = ["HOLD_TIMEOUT_SECONDS", "StartupEntryHold"]

# By then a followed registry without a majority has been replaced by another one.
HOLD_TIMEOUT_SECONDS = 3.0
_OPERATOR_RECORD_KINDS = ("configuration", "evacuation", "partners", "owner")

ReceivedEntry = tuple[str, messages_pb2.Entry]


class StartupEntryHold:
    """Holds operator records until the first registry with a majority has sent its entries."""

    def __init__(self) -> None:
        self._is_released = False
        self._held: list[ReceivedEntry] = []
        self._held_since: float | None = None

    def admit(
        self, peer: str, entries: Iterable[messages_pb2.Entry], is_in_touch: bool, now: float
    ) -> list[ReceivedEntry]:
        """Returns the entries to apply now, each with its registry; `now`: monotonic seconds."""
        received = [(peer, entry) for entry in entries]
        if self._is_released:
            return received
        if is_in_touch or self._has_timed_out(now):
            self._is_released = True
            # Entries of the registry with a majority come first, so that older ones are ignored.
            held, self._held = self._held, []
            return received + held
        for item in received:
            if item[1].kind in _OPERATOR_RECORD_KINDS:
                self._held.append(item)
                self._held_since = now if self._held_since is None else self._held_since
        return [item for item in received if item[1].kind not in _OPERATOR_RECORD_KINDS]

    def _has_timed_out(self, now: float) -> bool:
        return self._held_since is not None and now - self._held_since >= HOLD_TIMEOUT_SECONDS
