"""The proxy program: carries the traffic of one machine and guards its target."""

import asyncio
import signal
import time
from datetime import timedelta

from marblefold import wire_names
from marblefold.background_tasks import BackgroundTasks
from marblefold.configuration.route_table import RouteTable
from marblefold.http_connections.answer import Answer
from marblefold.http_connections.call_router import Call, CallRouter, json_answer
from marblefold.http_connections.http_server import HttpServer
from marblefold.inner_protocol.exchange import Exchange
from marblefold.inner_protocol.messages import messages_pb2, unpack_message
from marblefold.inner_protocol.peer_connection import PEER_KEEP_ALIVE_SECONDS, PeerConnection
from marblefold.inner_protocol.peer_connection_pool import PeerConnectionPool
from marblefold.inner_protocol.peer_listener import PeerListener
from marblefold.inner_protocol.ports import PROXY, REGISTRY, inner_address
from marblefold.logs import log
from marblefold.membership.members import Liveness, Member
from marblefold.membership.node import NodeMembership
from marblefold.node_config.reading import NodeConfig
from marblefold.node_config.watching import ConfigWatch
from marblefold.proxy.graceful_shutdown import shut_down_gracefully
from marblefold.proxy.heartbeat_calls import HeartbeatCalls
from marblefold.proxy.lease_client import LeaseClient
from marblefold.proxy.registry_follower import RegistryFollower
from marblefold.proxy.target_prober import TargetProber
from marblefold.proxy.target_report import TargetReportBuilder
from marblefold.proxy.traffic_reporter import TrafficReporter
from marblefold.request_path.distance_cost import DistanceCost
from marblefold.request_path.executor import RequestExecutor
from marblefold.request_path.guard import Guard
from marblefold.request_path.hop_sender import HopSender
from marblefold.request_path.local_target import LocalTarget
from marblefold.request_path.mesh_view import MeshView
from marblefold.request_path.routing_state import RoutingState
from marblefold.request_path.target_selection import TargetSelector
from marblefold.statistics_log import log_statistics
from marblefold.tracing.startup import start_tracing

__all__ = ["ProxyProgram"]

_ROUTE_CHECK_INTERVAL = timedelta(seconds=10)
# The shutdown is announced to peers after this share of the grace period.
_ANNOUNCE_SHARE = 0.13


class ProxyProgram:
    """Assembles the components of a proxy and runs them."""

    def __init__(self, watch: ConfigWatch) -> None:
        config = watch.config
        self._watch = watch
        self._config = config
        self.is_leaving = False
        self._tasks = BackgroundTasks()
        self.view = MeshView(config.node_name)
        self.target = LocalTarget(self._on_target_change)
        link_bytes_per_second = config.limits.link_bytes_per_second
        self.guard = Guard(self.target, self.view, config.bounds, link_bytes_per_second)
        self._report_builder = TargetReportBuilder(config, self.target)
        self.follower = RegistryFollower(
            config.node_name,
            self._seed_registries,
            self.view,
            self._report_builder.build,
            lease_client=LeaseClient(config.node_name, self.view, config.site, config.site_agent),
        )
        self._membership = NodeMembership(watch, "proxy", PROXY, self._on_member)
        distance = DistanceCost(config.zone, config.node_name, link_bytes_per_second)
        selector = TargetSelector(self.view, config.zone, distance=distance)
        self.routing_state = RoutingState(self.view, selector, config.bounds, config.limits)
        self._peer_listener = PeerListener(self, PEER_KEEP_ALIVE_SECONDS)
        self._peers = PeerConnectionPool(self, keep_alive_seconds=PEER_KEEP_ALIVE_SECONDS)
        self._hops = HopSender(
            self._peers,
            lambda peer: selector.note_unresponsive(peer, time.monotonic()),
            link_bytes_per_second,
        )
        self.executor = RequestExecutor(
            self.routing_state, self._hops, self.guard.running_requests, config.upstream
        )
        self.view.on_partners = self._add_partner_hops
        self._tracing = start_tracing(
            config,
            inner_address(config.host, config, PROXY),
            self.view,
            self.follower,
            self._tasks,
            self._peers,
        )
        if self._tracing is not None:
            self.executor.tracer = self.guard.tracer = self._tracing.tracer
        self._traffic = TrafficReporter(
            self.routing_state.traffic,
            self.follower,
            config,
            lambda: self.guard.slots.service_seconds,
        )
        self.outbound = HttpServer(
            self.executor.serve, may_run_concurrently=self.executor.may_run_concurrently
        )
        calls, ready = CallRouter(), CallRouter()
        HeartbeatCalls(self.target, config.zone).add_to(calls)
        ready.add(*wire_names.READINESS_CALL, self._readiness)
        self._control = HttpServer(calls.handle)
        self._readiness_server = HttpServer(ready.handle)
        self._prober = TargetProber(
            lambda: watch.config, self.view, self.target, self.guard.cold, self._tasks
        )
        self.view.on_own_target_entry = self._on_own_target_entry
        self.view.on_configuration = self._on_configuration
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Serves until the shutdown after SIGTERM is complete."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._watch.reload)
        self._watch.add_listener(self._on_config)
        self._apply_address(self._config)
        self.guard.cold.begin(time.monotonic())
        listen = self._config.listen
        inner = inner_address(self._config.host, self._config, PROXY)
        await self._peer_listener.start(inner)
        await self._control.start(listen["control-plane"])
        await self._readiness_server.start(listen["readiness"])
        await self.outbound.start(listen["outbound"])
        await self._membership.start()
        log.info("serving", node=self._config.node_name, inner=inner)
        for run in (
            self._watch.run(),
            self.follower.run(),
            self._membership.run(),
            self.outbound.run(),
            self._control.run(),
            self._readiness_server.run(),
            self._hops.run(),
            self.guard.run(),
            self._prober.run(),
            self._check_routes(),
            self._traffic.run(),
            log_statistics("bodies received", self.guard.body_statistics),
        ):
            self._tasks.start(run)
        if self._tracing is not None:
            self._tasks.start(self._tracing.run())
        await self._stop.wait()
        await shut_down_gracefully(self)
        if self._tracing is not None:
            self._tracing.export_remaining()
        self._tasks.cancel()

    def begin_shutdown(self) -> None:
        """Reports not ready to clients now, and announces the shutdown to peers a little later."""
        self.is_leaving = True
        self.guard.admission.begin_shutdown(time.monotonic())
        # The platform takes two seconds to detect the shutdown; for the first half of that
        # time the local target continues to serve hops of peers.
        wait = self.grace_period.total_seconds() * _ANNOUNCE_SHARE
        asyncio.get_running_loop().call_later(wait, self._announce_leaving)

    def _announce_leaving(self) -> None:
        self._report_builder.is_leaving = True
        self.follower.send_target_report()

    @property
    def hops_in_progress(self) -> int:
        """How many hops of peers the guard serves, and connections with undelivered ones."""
        return self.guard.in_progress + self._peer_listener.undelivered_count

    @property
    def grace_period(self) -> timedelta:
        """The time that the platform allows for the shutdown."""
        return self._watch.config.bounds.grace_period

    def on_hop(self, exchange: Exchange, payload: bytes) -> None:
        """Serves a hop of a peer for the local target."""
        self.guard.on_hop(exchange, payload)

    def on_call(self, connection: PeerConnection, number: int, payload: bytes) -> None:
        """Peers make no calls."""

    def on_notification(self, connection: PeerConnection, payload: bytes) -> None:
        """Handles the request of a peer to keep a trace."""
        if self._tracing is not None:
            self._tracing.handle_message(unpack_message(payload))

    def on_lost(self, connection: PeerConnection) -> None:
        """The connection of a peer is lost; its hops have been cancelled already."""

    async def _readiness(self, _call: Call) -> Answer:
        # Ready means that a request that arrives now can be routed.
        if self.is_leaving or self.view.table is None:
            return json_answer(503, {"ready": False})
        return json_answer(200, {"ready": True})

    def _seed_registries(self) -> list[str]:
        config = self._watch.config
        return [inner_address(seed.host, config, REGISTRY) for seed in config.seeds]

    def _on_member(self, member: Member) -> None:
        if member.liveness is Liveness.ALIVE:
            self.view.suspects.discard(member.node)
        else:
            self.view.suspects.add(member.node)
            self._peers.close_idle_connection(member.address)

    def _on_target_change(self) -> None:
        self.follower.send_target_report()

    def _on_own_target_entry(self, entry: messages_pb2.Entry) -> None:
        if entry.life != self._report_builder.generation and not entry.removed:
            # Reported by an earlier process of this node.
            notice = messages_pb2.TargetNotice.FromString(entry.value)
            self.target.recall(notice.instance, notice.state)
        # If the local clock was set back, an earlier generation of this node looks newer.
        if self._report_builder.supersede(entry.life):
            self.follower.send_target_report()

    def _on_configuration(self, table: RouteTable) -> None:
        self.outbound.set_limits(table.limits)

    def _add_partner_hops(self) -> None:
        """Adds the sender for hops to partners once the first partner is known."""
        # Imported here since a proxy without partners does not need it.
        from marblefold.gateway.partner_hops import add_partner_hops

        self.executor.hops = add_partner_hops(self._hops, self.view, self._tasks)

    def _on_config(self, config: NodeConfig) -> None:
        self.executor.caller = config.upstream
        if config.app_address != self._config.app_address:
            self._apply_address(config)
        self._config = config

    def _apply_address(self, config: NodeConfig) -> None:
        if config.app_address:
            self.guard.set_address(config.app_address)

    async def _check_routes(self) -> None:
        while True:
            await asyncio.sleep(_ROUTE_CHECK_INTERVAL.total_seconds())
            self.routing_state.log_overdue(_ROUTE_CHECK_INTERVAL)
            self.routing_state.forget_unused()
