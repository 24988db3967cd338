"""Errors that carry the step and the peer at which they arose."""

__all__ = ["DiskError", "MeshError"]


class MeshError(Exception):
    """Something broke down at a step, perhaps in talk with a peer."""

    def __init__(self, step: str, reason: str, peer: str = "") -> None:
        place = f" with {peer}" if peer else ""
        super().__init__(f"{step}{place}: {reason}")
        self.step = step
        self.reason = reason
        self.peer = peer


class DiskError(MeshError):
    """The operating system could not read or write what must last."""
