"""How much slower than it was a target is, as the guard beside it sees.

One caller sees a given target once in many seconds when there are hundreds of
both; the guard sees all of its traffic.  It tells a coarse figure, and only
when that changes.
"""

from collections import deque
from typing import Collection

__all__ = ["Slowness"]

# The last few times, against what has been usual for long.
_RECENT = 6
_LEARN_USUAL = 0.02
_TRUSTED = 20
_SLOW_FROM = 2.5
_USUAL_AGAIN = 1.5
_MOST = 8
# Whoever is told to be slow gets little to show that it no longer is: without
# news the figure halves at this pace, and traffic comes back by small steps.
_HALVED_AFTER = 2.0


class Slowness:
    """Told of each run; asked for the figure."""

    def __init__(self) -> None:
        # 1: as usual; else a power of two.
        self.level = 1
        self._usual = 0.0
        self._known = 0
        self._recent: deque[float] = deque(maxlen=_RECENT)
        self._changed_at = 0.0
        self._heard_at = 0.0

    def note(self, weighted: float, now: float) -> bool:
        """A run ended after this time over its aim; tells whether the level changed."""
        self._known += 1
        self._heard_at = now
        if self._known <= _TRUSTED:
            self._usual += (weighted - self._usual) / self._known
            return False
        self._recent.append(weighted)
        if self.level == 1 and weighted < _SLOW_FROM * self._usual:
            # What is slow must not become the usual.
            self._usual += _LEARN_USUAL * (weighted - self._usual)
        if len(self._recent) < _RECENT:
            return False
        return self._judge(sum(self._recent) / _RECENT, now)

    def look(self, ages: Collection[float], now: float) -> bool:
        """What is under way has gone on for so long; tells whether the level changed."""
        if self._known <= _TRUSTED:
            return False
        # The oldest may be one that is rightly long.
        younger = sorted(ages)[:-1]
        if len(younger) > 1:
            average = sum(younger) / len(younger)
            if average >= _SLOW_FROM * self._usual and self._to_level(average) > self.level:
                return self._change(self._to_level(average), now)
        if self.level > 1 and now - max(self._changed_at, self._heard_at) >= _HALVED_AFTER:
            self._recent.clear()
            return self._change(self.level // 2, now)
        return False

    def _judge(self, average: float, now: float) -> bool:
        level = self._to_level(average)
        if level > self.level:
            return self._change(level, now)
        if self.level > 1 and average < _USUAL_AGAIN * self._usual:
            return self._change(1, now)
        return False

    def _to_level(self, average: float) -> int:
        if average < _SLOW_FROM * self._usual:
            return 1
        level = 2
        while level < _MOST and average >= level * 2 * self._usual:
            level *= 2
        return level

    def _change(self, level: int, now: float) -> bool:
        """The one place where the level changes."""
        self._changed_at = now
        if level == self.level:
            return False
        self.level = level
        return True
