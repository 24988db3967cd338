"""Selects the registry that runs a singleton task: rendezvous hashing over live registries."""

import time
import zlib
from collections.abc import Callable
from datetime import timedelta

from marblefold.membership.members import Liveness
from marblefold.membership.node import NodeMembership

__all__ = ["LeaderSelection"]


class LeaderSelection:
    """Determines whether this registry is the leader for a task's key."""

    def __init__(
        self,
        membership: NodeMembership,
        own_address: str,
        registries: Callable[[], set[str]],
        is_in_contact: Callable[[], bool],
    ) -> None:
        self._membership = membership
        self._own_address = own_address
        self._registries = registries
        self._is_in_contact = is_in_contact
        self._started_at = time.monotonic()

    def is_leader(self, key: str, startup_delay: timedelta) -> bool:
        """Whether this registry leads for the key.

        It leads for no key during the startup delay, nor without a quorum contact.
        """
        if (
            time.monotonic() - self._started_at < startup_delay.total_seconds()
            or not self._is_in_contact()
        ):
            return False
        alive = {
            member.address
            for member in self._membership.members("registry")
            if member.liveness is Liveness.ALIVE
        }
        candidates = (alive | {self._own_address}) & (self._registries() | {self._own_address})
        return (
            max(candidates, key=lambda peer: (_hash_weight(key, peer), peer)) == self._own_address
        )


def _hash_weight(key: str, peer: str) -> int:
    return zlib.crc32(f"{key}|{peer}".encode())
