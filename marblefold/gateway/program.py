"""The gateway: an entry point for clients that connects directly to the targets."""

import asyncio
import signal
from datetime import timedelta

from marblefold import wire_names
from marblefold.background_tasks import BackgroundTasks
from marblefold.configuration.route_table import RouteTable
from marblefold.gateway.partner_hops import PartnerHops
from marblefold.gateway.target_hops import TargetHops
from marblefold.gateway.target_pool import TargetPool
from marblefold.http_connections.answer import Answer
from marblefold.http_connections.call_router import Call, CallRouter, json_answer
from marblefold.http_connections.http_server import HttpServer
from marblefold.inner_protocol.ports import REGISTRIES_PER_GATEWAY, REGISTRY, inner_address
from marblefold.logs import log
from marblefold.node_config.reading import NodeConfig
from marblefold.node_config.watching import ConfigWatch
from marblefold.proxy.graceful_shutdown import shut_down_gracefully
from marblefold.proxy.lease_client import LeaseClient
from marblefold.proxy.registry_follower import RegistryFollower
from marblefold.proxy.traffic_reporter import TrafficReporter
from marblefold.request_path.executor import RequestExecutor
from marblefold.request_path.mesh_view import MeshView
from marblefold.request_path.routing_state import RoutingState
from marblefold.request_path.running_requests import RunningRequests
from marblefold.request_path.target_selection import TargetSelector
from marblefold.tracing.startup import start_tracing

__all__ = ["GatewayProgram"]

_ROUTE_CHECK_INTERVAL = timedelta(seconds=10)
# The platform reserves some file descriptors of the limit for files; listeners,
# connections to registries and the event loop take a few more.
_DESCRIPTORS_FOR_FILES = 200
_DESCRIPTORS_FOR_CONTROL = 14
_TARGET_DESCRIPTOR_SHARE = 0.5


class GatewayProgram:
    """Creates the parts of a gateway and runs them."""

    def __init__(self, watch: ConfigWatch) -> None:
        config = watch.config
        self._watch = watch
        self._config = config
        self.is_leaving = False
        self.view = MeshView(config.node_name)
        # One feed is enough, which saves connections; a second registry is the standby.
        self.follower = RegistryFollower(
            config.node_name,
            self._seed_registries,
            self.view,
            max_followed=REGISTRIES_PER_GATEWAY,
            lease_client=LeaseClient(config.node_name, self.view),
        )
        selector = TargetSelector(
            self.view, config.zone, subset_key=config.node_name, has_guards=False
        )
        free_descriptors = (
            config.limits.file_descriptors - _DESCRIPTORS_FOR_FILES - _DESCRIPTORS_FOR_CONTROL
        )
        target_descriptors = max(4, int(free_descriptors * _TARGET_DESCRIPTOR_SHARE))
        self.routing_state = RoutingState(self.view, selector, config.bounds, config.limits)
        self.pool = TargetPool(target_descriptors, self._addresses)
        hops = TargetHops(self.pool)
        self.executor = RequestExecutor(
            self.routing_state, PartnerHops(hops, hops, self.view), RunningRequests(), ""
        )
        self.outbound = HttpServer(
            self.executor.serve,
            max(4, free_descriptors - target_descriptors),
            self.executor.may_run_concurrently,
        )
        readiness_router = CallRouter()
        readiness_router.add(*wire_names.READINESS_CALL, self._readiness)
        self._readiness_server = HttpServer(readiness_router.handle)
        self.view.on_configuration = self._on_configuration
        self._stop = asyncio.Event()
        self._tasks = BackgroundTasks()
        # Hops end at targets, so there are no peers to propagate trace marks to.
        self._tracing = start_tracing(
            config, str(config.listen.get("front-http", "")), self.view, self.follower, self._tasks
        )
        if self._tracing is not None:
            self.executor.tracer = self._tracing.tracer
        self._traffic = TrafficReporter(self.routing_state.traffic, self.follower, config)

    async def run(self) -> None:
        """Serves until SIGTERM, then shuts down gracefully."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._watch.reload)
        self._watch.add_listener(self._on_config)
        listen = self._config.listen
        await self._readiness_server.start(listen["readiness"])
        await self.outbound.start(listen["front-http"])
        log.info("serving", node=self._config.node_name, front=str(listen["front-http"]))
        for run in (
            self._watch.run(),
            self.follower.run(),
            self.outbound.run(),
            self._readiness_server.run(),
            self.pool.run(),
            self._check_routes(),
            self._traffic.run(),
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
        """Fails the readiness checks, so that the platform routes clients elsewhere."""
        self.is_leaving = True

    @property
    def hops_in_progress(self) -> int:
        """Always 0: a gateway executes no hops for peers."""
        return 0

    @property
    def grace_period(self) -> timedelta:
        """How long the platform allows for the shutdown."""
        return self._config.bounds.grace_period

    async def _readiness(self, _call: Call) -> Answer:
        # Ready means that requests can be routed now.  Load is not considered: an
        # overloaded gateway refuses requests, but stays ready.
        is_ready = not self.is_leaving and self.view.table is not None and self.view.peers()
        return json_answer(200 if is_ready else 503, {"ready": bool(is_ready)})

    def _seed_registries(self) -> list[str]:
        config = self._watch.config
        return [inner_address(seed.host, config, REGISTRY) for seed in config.seeds]

    def _addresses(self) -> set[str]:
        partners = self.view.partners
        return self.view.peers() | set(partners.addresses.values() if partners else ())

    def _on_configuration(self, table: RouteTable) -> None:
        self.outbound.set_limits(table.limits)

    def _on_config(self, config: NodeConfig) -> None:
        self._config = config

    async def _check_routes(self) -> None:
        while True:
            await asyncio.sleep(_ROUTE_CHECK_INTERVAL.total_seconds())
            self.routing_state.log_overdue(_ROUTE_CHECK_INTERVAL)
            self.routing_state.forget_unused()
