"""The error type of the mesh."""

__all__ = ["DiskError", "MeshError"]


class MeshError(Exception):
    """A failure at a step, such as "connect", for a reason, perhaps with a peer (HOST:PORT)."""

    def __init__(self, step: str, reason: str, peer: str = "") -> None:
        place = f" with {peer}" if peer else ""
        super().__init__(f"{step}{place}: {reason}")
        self.step = step
        self.reason = reason
        self.peer = peer


class DiskError(MeshError):
    """The operating system could not read or write what must last."""
