"""The error types of the mesh."""

__all__ = ["DiskError", "MeshError"]


class MeshError(Exception):
    """A failed step, such as "connect", with the reason and, if known, the peer (HOST:PORT)."""

    def __init__(self, step: str, reason: str, peer: str = "") -> None:
        location = f" with {peer}" if peer else ""
        super().__init__(f"{step}{location}: {reason}")
        self.step = step
        self.reason = reason
        self.peer = peer


class DiskError(MeshError):
    """The operating system could not read or write durable data."""
