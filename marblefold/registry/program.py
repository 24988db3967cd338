"""The registry process: tracks targets and proxies, serves operators, publishes changes."""

import asyncio
import os
import signal
import time
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any

from marblefold.background_tasks import BackgroundTasks
from marblefold.history.recorder import HistoryRecorder
from marblefold.http_connections.http_server import HttpServer
from marblefold.inner_protocol.exchange import Exchange
from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.messages import messages_pb2, pack_message, unpack_message
from marblefold.inner_protocol.peer_connection import PeerConnection
from marblefold.inner_protocol.ports import REGISTRY, STORE, inner_address
from marblefold.logs import log
from marblefold.maintenance.calls import MaintenanceCalls
from marblefold.maintenance.coordinator import MaintenanceCoordinator
from marblefold.membership.node import NodeMembership
from marblefold.node_config.watching import ConfigWatch
from marblefold.program_flags import is_history_on, read_collected_spans
from marblefold.registry.catalogue import Catalogue
from marblefold.registry.chosen_records import ChosenRecordHandler
from marblefold.registry.command_router import CommandRouter
from marblefold.registry.control_calls import ControlCalls
from marblefold.registry.feed import FeedPublisher, estimate_gateways
from marblefold.registry.leader_selection import LeaderSelection
from marblefold.registry.live_capacity import LiveCapacity
from marblefold.registry.quorum_contact import QuorumContact
from marblefold.registry.site_coordination import PARTNERS_REGISTER, SiteCoordinator
from marblefold.registry.snapshot_parts import describe_parts
from marblefold.registry.stall_detector import StallDetector
from marblefold.registry.state import describe_state
from marblefold.registry.store_client import StoreClient
from marblefold.registry.traffic_rates import TrafficRates
from marblefold.rehearsal.calls import RehearsalCalls
from marblefold.statistics_log import log_statistics
from marblefold.tracing.calls import TraceCalls
from marblefold.tracing.collector import Collector

__all__ = ["RegistryProgram"]

_LEADER_STARTUP_DELAY = timedelta(milliseconds=300)
# How long calls already read may go on, and their answers be delivered, after SIGTERM.
_FINISH_SECONDS = 3.0


class RegistryProgram:
    """Assembles the components of a registry and runs them."""

    def __init__(self, watch: ConfigWatch) -> None:
        config = watch.config
        self._watch = watch
        self._config = config
        # Random, because a clock that is set back could repeat an earlier generation.
        self.catalogue = Catalogue(int.from_bytes(os.urandom(6)))
        self.contact = QuorumContact(on_change=self._on_contact_change)
        self.store_client = StoreClient(
            inner_address(config.host, config, STORE),
            self._seed_stores,
            lambda record: self._records.apply(record),
            self.contact,
        )
        self._membership = NodeMembership(watch, "registry", REGISTRY)
        self._stall_detector = StallDetector()
        self.feed = FeedPublisher(self.catalogue, lambda: self.contact.is_held, self._count_proxies)
        self._own_address = inner_address(config.host, config, REGISTRY)
        self._leader_selection = LeaderSelection(
            self._membership,
            self._own_address,
            lambda: self._records.registries,
            lambda: self.contact.is_held,
        )
        capacity = LiveCapacity(
            self.catalogue, self._membership, self._leader_selection, config.cloud is None
        )
        self._platform_tasks = self._make_platform_tasks()
        self.maintenance = MaintenanceCoordinator(self.store_client, capacity)
        self._site_coordinator = SiteCoordinator(
            config,
            self._own_address,
            self.catalogue,
            self.store_client,
            lambda: self._leader_selection.is_leader(PARTNERS_REGISTER, _LEADER_STARTUP_DELAY),
        )
        self._collector = Collector(read_collected_spans())
        calls = CommandRouter(self._stall_detector, self.contact)
        TraceCalls(self._collector, time.time).add_to(calls)
        self._traffic_rates = TrafficRates()
        self._history = HistoryRecorder(config.data_directory if is_history_on() else "")
        self._history.add_to(calls)
        self._records = ChosenRecordHandler(
            self.catalogue,
            self._history,
            self.maintenance,
            self._site_coordinator,
            lambda store: inner_address(store.rpartition(":")[0], config, REGISTRY),
            self._on_members,
        )
        RehearsalCalls(self.store_client, self._describe_snapshot_parts).add_to(calls)
        self._site_coordinator.add_to(calls)
        MaintenanceCalls(self.store_client, self._zones, capacity.all_slots).add_to(calls)
        ControlCalls(
            self.store_client,
            self._zones,
            self._show_state,
            self._evacuation_number,
        ).add_to(calls)
        self._control_server = HttpServer(calls.handle)
        self._stop_requested = asyncio.Event()

    async def run(self) -> None:
        """Serves until SIGTERM; SIGHUP rereads the node configuration."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._watch.reload)
        inner = inner_address(self._config.host, self._config, REGISTRY)
        host, _separator, port = inner.rpartition(":")
        await loop.create_server(lambda: PeerConnection(self), host, int(port), backlog=512)
        await self._membership.start()
        await self._control_server.start(self._config.listen["control-plane"])
        log.info("serving", node=self._config.node_name, inner=inner)
        tasks = BackgroundTasks()
        for coroutine in (
            self._watch.run(),
            self.store_client.run(),
            log_statistics("store calls", self.store_client.statistics),
            self.feed.run(),
            self._stall_detector.run(),
            self._control_server.run(),
            self._membership.run(),
            self.maintenance.run(),
            *self._platform_tasks,
            self._history.run(),
            *self._site_coordinator.background_tasks(),
        ):
            tasks.start(coroutine)
        await self._stop_requested.wait()
        # Calls already read are still answered; new calls go to other registries.
        await self._control_server.finish(_FINISH_SECONDS)
        tasks.cancel()

    def _make_platform_tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Creates the tasks for a platform that lists the targets, if there is one."""
        cloud = self._config.cloud
        if cloud is None:
            return []
        # Imported here because other deployments do not need these modules.
        from marblefold.registry.platform_tasks import make_platform_tasks

        return make_platform_tasks(
            self._watch,
            cloud,
            self.catalogue,
            self.store_client,
            self._leader_selection,
            self._own_address,
            lambda: self._records.registries,
            _LEADER_STARTUP_DELAY,
        )

    def _on_members(self, members: set[str]) -> None:
        self.store_client.stores = members

    def on_notification(self, connection: PeerConnection, payload: bytes) -> None:
        """Handles a one-way message of a node: a report, a subscription or a lease request."""
        message = unpack_message(payload)
        if isinstance(message, messages_pb2.Follow):
            self.feed.follow(connection, message)
        elif isinstance(message, messages_pb2.TargetNotice):
            self._apply_target_notice(message)
        elif isinstance(message, messages_pb2.TrafficNotice):
            self._traffic_rates.record(message, time.monotonic())
        elif isinstance(message, messages_pb2.SpanBatch):
            self._collector.add_batch(message)
        elif isinstance(message, messages_pb2.Want):
            self.feed.send_entry(connection, message)
        elif isinstance(message, messages_pb2.RenewLease):
            connection.send(
                FrameKind.NOTIFICATION,
                0,
                pack_message(self._site_coordinator.granter.grant(message)),
            )

    def on_lost(self, connection: PeerConnection) -> None:
        """Removes a lost connection; the entries that came over it stay until newer ones arrive."""
        self.feed.remove_follower(connection)

    def on_hop(self, exchange: Exchange, payload: bytes) -> None:
        """Closes the exchange: registries serve no hops."""
        exchange.close()

    def on_call(self, connection: PeerConnection, number: int, payload: bytes) -> None:
        """Ignored: registries answer no calls over this protocol."""

    def _apply_target_notice(self, notice: messages_pb2.TargetNotice) -> None:
        self.catalogue.put(
            messages_pb2.Entry(
                kind="target",
                key=notice.node,
                life=notice.node_life,
                number=notice.notice_number,
                value=notice.SerializeToString(),
            )
        )
        self._site_coordinator.report_claim_conflicts()

    def _zones(self) -> set[str]:
        return set(self._watch.config.zone_regions)

    def _describe_snapshot_parts(self) -> dict[str, Any]:
        return describe_parts(
            self._show_state(),
            self._traffic_rates,
            self._config,
            self.catalogue,
            self._own_address,
            self._membership.members("registry"),
            time.monotonic(),
        )

    def _show_state(self) -> dict[str, Any]:
        members = sorted(self.store_client.stores)
        return describe_state(
            self.catalogue, members, self._membership.members("proxy"), self.contact.is_held
        )

    def _on_contact_change(self, is_held: bool) -> None:
        """Notifies followers at once rather than with the next keepalive."""
        stores = len(self.store_client.stores)
        log.info("quorum contact gained" if is_held else "quorum contact lost", stores=stores)
        self.feed.send_keepalive()

    def _evacuation_number(self, zone: str) -> int | None:
        entry = self.catalogue.find("evacuation", zone)
        return entry.number if entry is not None else None

    def _count_proxies(self) -> int:
        if self._config.cloud is None:
            return len(self.catalogue.entries("target"))
        return estimate_gateways(self.feed.follower_count, max(1, len(self._records.registries)))

    def _seed_stores(self) -> list[str]:
        config = self._watch.config
        return [inner_address(seed.host, config, STORE) for seed in config.seeds]
