"""Mean and deviation of what successful calls took, over a sliding window."""

import math
from collections import deque

__all__ = ["LatencyStatistics"]


class LatencyStatistics:
    """A window over the newest values, with sums kept as they come and go."""

    def __init__(self, window: int) -> None:
        self._window = window
        self._values: deque[float] = deque()
        self._sum = 0.0
        self._square_sum = 0.0
        self._since_resum = 0

    def __len__(self) -> int:
        return len(self._values)

    def record(self, value: float) -> None:
        """Adds one elapsed time, in seconds per unit of latency_target."""
        self._values.append(value)
        self._sum += value
        self._square_sum += value * value
        if len(self._values) > self._window:
            gone = self._values.popleft()
            self._sum -= gone
            self._square_sum -= gone * gone
        self._since_resum += 1
        # Running sums accumulate rounding errors: they are recomputed once a window.
        if self._since_resum >= self._window:
            self._since_resum = 0
            self._sum = math.fsum(self._values)
            self._square_sum = math.fsum(value * value for value in self._values)

    @property
    def mean(self) -> float:
        """The mean of the window."""
        return self._sum / len(self._values) if self._values else 0.0

    @property
    def deviation(self) -> float:
        """The standard deviation of the window."""
        if not self._values:
            return 0.0
        mean = self.mean
        return math.sqrt(max(0.0, self._square_sum / len(self._values) - mean * mean))
