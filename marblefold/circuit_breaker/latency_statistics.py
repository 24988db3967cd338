"""Mean and standard deviation of the latency of successful calls, over a sliding window."""

import math
from collections import deque

__all__ = ["LatencyStatistics"]


class LatencyStatistics:
    """A window over the newest values, with running sums."""

    def __init__(self, window: int) -> None:
        self._window = window
        self._values: deque[float] = deque()
        self._sum = 0.0
        self._square_sum = 0.0
        self._records_since_resum = 0

    def __len__(self) -> int:
        return len(self._values)

    def record(self, value: float) -> None:
        """Adds one elapsed time, as a multiple of the latency target."""
        self._values.append(value)
        self._sum += value
        self._square_sum += value * value
        if len(self._values) > self._window:
            removed = self._values.popleft()
            self._sum -= removed
            self._square_sum -= removed * removed
        self._records_since_resum += 1
        # Running sums accumulate rounding errors, so they are recomputed once per window.
        if self._records_since_resum >= self._window:
            self._records_since_resum = 0
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
