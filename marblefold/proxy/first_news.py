"""What a proxy that has just started makes of registries out of contact.

A registry that was cut off may hold an older configuration, and a proxy that
knows nothing yet cannot tell.  So records of operators are held back until a
registry in contact with a majority has spoken, or until it is clear that none
can be found soon: then this proxy is cut off as well, and serves by what there
is, as one that has long been running would.
"""

from collections.abc import Iterable

from marblefold.inner_protocol.messages import kinds

__all__ = ["PATIENCE_SECONDS", "FirstNews"]

# A registry passed over for being out of contact has been replaced by then.
PATIENCE_SECONDS = 3.0
_OF_OPERATORS = ("configuration", "evacuation", "partners", "owner")

Told = tuple[str, kinds.Entry]


class FirstNews:
    """Sorts what registries told before the first one in contact spoke."""

    def __init__(self) -> None:
        self._is_open = False
        self._held: list[Told] = []
        self._since: float | None = None

    def admit(
        self, peer: str, entries: Iterable[kinds.Entry], is_in_touch: bool, now: float
    ) -> list[Told]:
        """The entries to take now, each with the registry that told it; now: steady seconds."""
        told = [(peer, entry) for entry in entries]
        if self._is_open:
            return told
        if is_in_touch or self._is_patience_over(now):
            self._is_open = True
            # Those of the registry in contact first: what is older is no news then.
            held, self._held = self._held, []
            return told + held
        for one in told:
            if one[1].kind in _OF_OPERATORS:
                self._held.append(one)
                self._since = now if self._since is None else self._since
        return [one for one in told if one[1].kind not in _OF_OPERATORS]

    def _is_patience_over(self, now: float) -> bool:
        return self._since is not None and now - self._since >= PATIENCE_SECONDS
