"""Which registry has a duty: by key over those that live."""

import time
import zlib
from collections.abc import Callable
from datetime import timedelta

from marblefold.membership.members import Liveness
from marblefold.membership.node import NodeMembership

__all__ = ["LeaderSelection"]


class LeaderSelection:
    """Answers whether a duty's key falls to this registry."""

    def __init__(
        self,
        membership: NodeMembership,
        own: str,
        registries: Callable[[], set[str]],
        is_in_touch: Callable[[], bool],
    ) -> None:
        self._membership = membership
        self._own = own
        self._registries = registries
        self._is_in_touch = is_in_touch
        self._began = time.monotonic()

    def is_leader(self, key: str, startup_delay: timedelta) -> bool:
        """Whether the key falls to us; nothing does for the startup_delay time after a start."""
        if (
            time.monotonic() - self._began < startup_delay.total_seconds()
            or not self._is_in_touch()
        ):
            return False
        alive = {
            member.address
            for member in self._membership.members("registry")
            if member.liveness is Liveness.ALIVE
        }
        candidates = (alive | {self._own}) & (self._registries() | {self._own})
        return max(candidates, key=lambda peer: (_rank(key, peer), peer)) == self._own


def _rank(key: str, peer: str) -> int:
    return zlib.crc32(f"{key}|{peer}".encode())
