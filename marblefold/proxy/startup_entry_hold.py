"""How a proxy that has just started treats registries without a majority.

A partitioned registry may hold an older configuration, and a proxy without any
state cannot detect that.  So records of operators are held back until a registry
in contact with a majority has sent its entries, or until none could be found in
time: then this proxy is partitioned as well, and uses what it received, as a proxy
that has been running for long would.
"""

from collections.abc import Iterable

from marblefold.inner_protocol.messages import kinds

__all__ = ["HOLD_TIMEOUT_SECONDS", "StartupEntryHold"]

# Seconds; a registry avoided for being out of contact has been replaced by then.
HOLD_TIMEOUT_SECONDS = 3.0
_OF_OPERATORS = ("configuration", "evacuation", "partners", "owner")

ReceivedEntry = tuple[str, kinds.Entry]


class StartupEntryHold:
    """Holds back entries received before those of the first registry in contact."""

    def __init__(self) -> None:
        self._is_open = False
        self._held: list[ReceivedEntry] = []
        self._since: float | None = None

    def admit(
        self, peer: str, entries: Iterable[kinds.Entry], is_in_touch: bool, now: float
    ) -> list[ReceivedEntry]:
        """The entries to apply now, each with its registry; `now`: monotonic seconds."""
        received = [(peer, entry) for entry in entries]
        if self._is_open:
            return received
        if is_in_touch or self._is_patience_over(now):
            self._is_open = True
            # Those of the registry in contact first: older entries are then ignored.
            held, self._held = self._held, []
            return received + held
        for one in received:
            if one[1].kind in _OF_OPERATORS:
                self._held.append(one)
                self._since = now if self._since is None else self._since
        return [one for one in received if one[1].kind not in _OF_OPERATORS]

    def _is_patience_over(self, now: float) -> bool:
        return self._since is not None and now - self._since >= HOLD_TIMEOUT_SECONDS
