"""How long to wait for the stores that have not answered a call that was sent to all."""

from collections.abc import Callable

__all__ = ["PhaseDeadline"]

_PHASE_TIMEOUT_SECONDS = 0.7
# The least time for the remaining answers once they are no longer needed for sure.
_MIN_GRACE_SECONDS = 0.06


class PhaseDeadline:
    """A time limit that is cut short once the outcome no longer depends on every store.

    A store that is down says nothing: whoever waited for it until the time limit after
    another store has refused, would lose nearly all the time that its caller has.
    """

    def __init__(self, clock: Callable[[], float], seconds: float | None = None) -> None:
        """seconds: the time limit; that of a phase of a ballot if not given."""
        self._clock = clock
        self._began_at = clock()
        self._end = self._began_at + (_PHASE_TIMEOUT_SECONDS if seconds is None else seconds)
        self._is_short = False

    def remaining_seconds(self) -> float:
        """Returns the seconds left; none or less if the time is up."""
        return self._end - self._clock()

    def expect_end(self) -> None:
        """Gives the remaining stores as long again as the answers until now took."""
        if self._is_short:
            return
        self._is_short = True
        now = self._clock()
        self._end = min(self._end, now + max(now - self._began_at, _MIN_GRACE_SECONDS))
