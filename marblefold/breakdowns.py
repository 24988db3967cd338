"""Errors that carry the step and the mate at which they arose."""

__all__ = ["Breakdown"]


class Breakdown(Exception):
    """Something broke down at a step, perhaps in talk with a mate."""

    def __init__(self, step: str, reason: str, mate: str = "") -> None:
        place = f" with {mate}" if mate else ""
        super().__init__(f"{step}{place}: {reason}")
        self.step = step
        self.reason = reason
        self.mate = mate
