"""The tasks of a registry whose targets are listed by a platform: one registry reads the list."""

from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from marblefold.node_config.model import Cloud
from marblefold.node_config.watching import ConfigWatch
from marblefold.proxy.registry_follower import RegistryFollower
from marblefold.registry.catalogue import Catalogue
from marblefold.registry.leader_selection import LeaderSelection
from marblefold.registry.peer_updates import PeerUpdates
from marblefold.registry.platform_list import PlatformList
from marblefold.registry.platform_list_sync import LEADER_REGISTER, PlatformListSync
from marblefold.registry.store_client import StoreClient

__all__ = ["make_platform_tasks"]


def make_platform_tasks(
    watch: ConfigWatch,
    cloud: Cloud,
    catalogue: Catalogue,
    store_client: StoreClient,
    leader_selection: LeaderSelection,
    own_address: str,
    registries: Callable[[], set[str]],
    leader_startup_delay: timedelta,
) -> list[Coroutine[Any, Any, None]]:
    """Returns the tasks that read the list, if this registry leads, or follow the one that does.

    registries: returns the addresses of all registries.
    """
    config = watch.config
    updates = PeerUpdates(catalogue, {"target"}, lambda: registries() - {own_address})
    follower = RegistryFollower(config.node_name, list, updates)
    list_sync = PlatformListSync(
        PlatformList(cloud.address, cloud.rate_per_second),
        catalogue,
        store_client,
        own_address,
        lambda: leader_selection.is_leader(LEADER_REGISTER, leader_startup_delay),
        lambda zone: watch.config.zone_regions.get(zone, ""),
        config.bounds.drain_time,
    )
    return [follower.run(), list_sync.run()]
