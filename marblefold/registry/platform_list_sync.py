"""One registry's duty: brings the platform's list of targets into the feed.

Whoever takes the duty up raises its epoch in the stores first.  Entries are
ordered by epoch, then by number, so what a former holder still says never
outranks what its successor said.
"""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import kinds
from marblefold.logs import log
from marblefold.register_store.register_client import RegisterClient
from marblefold.registry.catalogue import Catalogue
from marblefold.registry.platform_list import ListedTarget, PlatformList

__all__ = ["LEADER_REGISTER", "PlatformListSync"]

LEADER_REGISTER = "duty/instances"
_LOOK_EVERY = timedelta(milliseconds=250)
# The list is read several times within the time that a drain may take.
_READS_IN_A_DRAIN = 3
_LONGEST_PAUSE = timedelta(seconds=1)
_MOST_BACK_OFF = 4.0


class PlatformListSync:
    """Reads the list while the duty is ours."""

    def __init__(
        self,
        listing: PlatformList,
        catalogue: Catalogue,
        store_client: RegisterClient,
        own: str,
        is_leader: Callable[[], bool],
        region_of: Callable[[str], str],
        drain_time: timedelta,
    ) -> None:
        self._listing = listing
        self._catalogue = catalogue
        self._store_client = store_client
        self._own = own
        self._is_leader = is_leader
        self._region_of = region_of
        self._pause = min(_LONGEST_PAUSE, drain_time / _READS_IN_A_DRAIN)
        # The epoch in which we hold the duty; None while we do not.
        self._epoch: int | None = None
        self._number = 0
        self._published: dict[str, ListedTarget] = {}
        self._missing: set[str] = set()

    async def run(self) -> None:
        """Makes rounds for ever, slower while the platform does not answer."""
        back_off = 1.0
        while True:
            if not self._is_leader():
                self._epoch = None
                await asyncio.sleep(_LOOK_EVERY.total_seconds())
                continue
            try:
                await self.sync_once()
                back_off = 1.0
            except MeshError as error:
                # What is held serves on; many must not ask all at once.
                back_off = min(_MOST_BACK_OFF, back_off * 1.5)
                log.warning("no list", step=error.step, peer=error.peer, reason=error.reason)
            await asyncio.sleep(self._pause.total_seconds() * back_off * random.uniform(0.85, 1.0))

    async def sync_once(self) -> None:
        """One round: the duty's epoch, the whole list, then what changed in it."""
        if self._epoch is None:
            await self._acquire_leadership()
        self._publish(await self._listing.read())

    async def _acquire_leadership(self) -> None:
        held = await self._store_client.ask("describe", LEADER_REGISTER)
        own = self._own.encode()
        taken = await self._store_client.ask("duty", LEADER_REGISTER, held.number, own)
        # Another was faster: its epoch is not ours.
        if taken.value != own or taken.number != held.number + 1:
            raise MeshError("duty", "taken by another", taken.value.decode())
        self._epoch, self._number = taken.number, 0
        self._published, self._missing = {}, set()
        log.info("list duty", epoch=self._epoch)

    def _publish(self, listed: dict[str, ListedTarget]) -> None:
        for instance, target in listed.items():
            held = self._published.get(instance)
            # How long it stays cold runs down by itself and is no change.
            if held is None or _without_cold_time(held) != _without_cold_time(target):
                self._put(instance, target)
        self._published = listed | {
            instance: target
            for instance, target in self._published.items()
            if instance in self._missing and instance not in listed
        }
        known = {entry.key for entry in self._catalogue.entries("target")}
        for instance in known - set(listed):
            # A page boundary may hide one once; twice missing is gone.
            if instance in self._missing:
                self._put(instance, None)
        self._missing = known - set(listed)

    def _put(self, instance: str, target: ListedTarget | None) -> None:
        self._number += 1
        value = b""
        if target is not None:
            value = kinds.TargetNotice(
                node=instance,
                address=target.address,
                zone=target.zone,
                region=self._region_of(target.zone),
                instance=instance,
                upstream=target.upstream,
                slots=target.slots,
                state=target.state,
                cold_left_ms=int(target.cold / timedelta(milliseconds=1)),
            ).SerializeToString()
        else:
            self._published.pop(instance, None)
        self._catalogue.put(
            kinds.Entry(
                kind="target",
                key=instance,
                life=self._epoch,
                number=self._number,
                value=value,
                removed=target is None,
            )
        )


def _without_cold_time(target: ListedTarget) -> tuple[ListedTarget, bool]:
    is_cold = target.cold > timedelta(0) and target.state == wire_names.READY
    return target._replace(cold=timedelta(0)), is_cold
