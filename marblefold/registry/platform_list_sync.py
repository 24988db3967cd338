"""Publishes the platform's list of targets in the feed; one registry, the leader, does this.

A new leader first raises the epoch in the stores.  Entries are ordered by epoch,
then by number, so an entry of a former leader never supersedes one of its successor.
Two registries may take themselves for the leader while their membership views differ.
One that sees entries of a higher epoch acquires the next epoch before it publishes
again, since every entry under its own epoch would be ignored.
"""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.logs import log
from marblefold.register_store.register_client import RegisterClient
from marblefold.registry.catalogue import Catalogue
from marblefold.registry.platform_list import ListedTarget, PlatformList

__all__ = ["LEADER_REGISTER", "PlatformListSync"]

LEADER_REGISTER = "duty/instances"
_LEADER_CHECK_INTERVAL = timedelta(milliseconds=250)
# The list is read several times within the drain time, so that a drain is not missed.
_READS_PER_DRAIN_TIME = 3
_MAX_SYNC_INTERVAL = timedelta(seconds=1)
_MAX_BACK_OFF_FACTOR = 4.0


class PlatformListSync:
    """Reads and publishes the list while this registry is the leader."""

    def __init__(
        self,
        platform_list: PlatformList,
        catalogue: Catalogue,
        store_client: RegisterClient,
        own_address: str,
        is_leader: Callable[[], bool],
        region_of: Callable[[str], str],
        drain_time: timedelta,
    ) -> None:
        self._platform_list = platform_list
        self._catalogue = catalogue
        self._store_client = store_client
        self._own_address = own_address
        self._is_leader = is_leader
        self._region_of = region_of
        self._sync_interval = min(_MAX_SYNC_INTERVAL, drain_time / _READS_PER_DRAIN_TIME)
        # The epoch of this registry's leadership; None while another leads.
        self._epoch: int | None = None
        self._highest_seen_epoch = 0
        self._entry_number = 0
        self._published: dict[str, ListedTarget] = {}
        self._missing: set[str] = set()
        catalogue.add_listener(self._on_entry)

    async def run(self) -> None:
        """Synchronizes forever, with back-off while the platform does not answer."""
        back_off_factor = 1.0
        while True:
            if not self._is_leader():
                self._epoch = None
                await asyncio.sleep(_LEADER_CHECK_INTERVAL.total_seconds())
                continue
            try:
                await self.sync_once()
                back_off_factor = 1.0
            except MeshError as error:
                # The published list stays in use.  The jitter below spreads the retries.
                back_off_factor = min(_MAX_BACK_OFF_FACTOR, back_off_factor * 1.5)
                log.warning(
                    "platform list not synchronized",
                    step=error.step,
                    peer=error.peer,
                    reason=error.reason,
                )
            await asyncio.sleep(
                self._sync_interval.total_seconds() * back_off_factor * random.uniform(0.85, 1.0)
            )

    async def sync_once(self) -> None:
        """Acquires leadership if needed, reads the whole list and publishes its changes.

        Raises MeshError if the stores or the platform do not answer, or if another registry
        acquired leadership meanwhile; nothing is published then.
        """
        if self._epoch is None or self._is_superseded():
            await self._acquire_leadership()
        listed = await self._platform_list.read()
        # Under a later epoch this list would revert what the other leader read after it.
        if self._is_superseded():
            raise MeshError("duty", "superseded by another registry while the list was read")
        self._publish(listed)

    def _on_entry(self, _revision: int, entry: messages_pb2.Entry) -> None:
        if entry.kind == "target":
            self._highest_seen_epoch = max(self._highest_seen_epoch, entry.life)

    def _is_superseded(self) -> bool:
        return self._epoch is not None and self._highest_seen_epoch > self._epoch

    async def _acquire_leadership(self) -> None:
        current = await self._store_client.ask("describe", LEADER_REGISTER)
        own_value = self._own_address.encode()
        acquired = await self._store_client.ask("duty", LEADER_REGISTER, current.number, own_value)
        # Another registry acquired this epoch first.
        if acquired.value != own_value or acquired.number != current.number + 1:
            raise MeshError("duty", "acquired by another registry", acquired.value.decode())
        self._epoch, self._entry_number = acquired.number, 0
        self._published, self._missing = {}, set()
        log.info(
            "leader for the platform list",
            epoch=self._epoch,
            highest_seen=self._highest_seen_epoch,
        )

    def _publish(self, listed: dict[str, ListedTarget]) -> None:
        for instance, target in listed.items():
            published = self._published.get(instance)
            # A remaining cold time that only counts down is not a change.
            if published is None or _without_cold_time(published) != _without_cold_time(target):
                self._put(instance, target)
            if published is not None and published.state != target.state:
                log.info("listed state changed", instance=instance, state=target.state)
        self._published = listed | {
            instance: target
            for instance, target in self._published.items()
            if instance in self._missing and instance not in listed
        }
        known = {entry.key for entry in self._catalogue.entries("target")}
        for instance in known - set(listed):
            # Paging may skip a target once; one missing from two reads in a row is gone.
            if instance in self._missing:
                self._put(instance, None)
            else:
                log.info("missing from the platform list", instance=instance)
        self._missing = known - set(listed)

    def _put(self, instance: str, target: ListedTarget | None) -> None:
        self._entry_number += 1
        value = b""
        if target is not None:
            value = messages_pb2.TargetNotice(
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
            messages_pb2.Entry(
                kind="target",
                key=instance,
                life=self._epoch,
                number=self._entry_number,
                value=value,
                removed=target is None,
            )
        )


def _without_cold_time(target: ListedTarget) -> tuple[ListedTarget, bool]:
    is_cold = target.cold > timedelta(0) and target.state == wire_names.READY
    return target._replace(cold=timedelta(0)), is_cold
