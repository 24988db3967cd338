"""A mesh in several regions on a simulated clock, which can lose zones under traffic.

Each node has its own request executor, decisions, target selection, circuit breakers,
retry budgets and slot queues, which are those of the programs. They run on an event
loop whose time is simulated.
"""

import asyncio
import json
import random
import time
from types import SimpleNamespace

from marblefold.configuration.route_table import RouteTable
from marblefold.http_connections.answer import Answer
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.leases.held_leases import LEASE_SECONDS
from marblefold.node_config.model import Limits
from marblefold.planner.mesh_state import read_configuration_rows
from marblefold.registry.snapshot_parts import describe_flows
from marblefold.registry.traffic_rates import TrafficRates
from marblefold.rehearsal.origins import _make_bounds
from marblefold.rehearsal.simulation import detection_seconds
from marblefold.rehearsal.snapshot import read_snapshot
from marblefold.request_path.cold_limit import ColdLimit
from marblefold.request_path.executor import RequestExecutor
from marblefold.request_path.mesh_view import KnownOwner, MeshView
from marblefold.request_path.outcome import NO_SLOT, HopOutcome, HopResult, TargetLoad
from marblefold.request_path.routing_state import RoutingState
from marblefold.request_path.running_requests import RunningRequests
from marblefold.request_path.slot_queue import QueuePriority, SlotQueue
from marblefold.request_path.target_selection import TargetSelector
from tests.region_document import SERVICE, ZONES


class _Request(SimpleNamespace):
    """A client request with what an executor needs of it."""

    method, host, headers, body_length = "POST", "shop", (), 0
    has_body = is_upgrade = False

    @property
    def deadline_ms(self):
        return None

    def header_block(self):
        return b""

    async def read_body(self, _bound, _max_bytes):
        return b"", True


class SimulatedMesh:
    """Nodes with targets; zones can be lost while requests are in progress."""

    def __init__(self, document, rate=40.0, seed=3, clients_move=False):
        self.clients_move = clients_move
        self.document, self.rate, self.seed = document, rate, seed
        self.random = random.Random(seed)
        self.lost_zones, self.lapsed, self.tasks, self.outcomes = set(), set(), set(), []
        self.rows = read_configuration_rows(json.dumps(document["configuration"]).encode())
        self.targets = {row["node"]: row for row in document["state"]["targets"]}
        self.traffic_rates = TrafficRates()
        self.request_count = 0

    def start(self):
        snapshot = read_snapshot(json.dumps(self.document).encode())
        self.queues = {node: SlotQueue(row["capacity-slots"]) for node, row in self.targets.items()}
        self.cold_limits = {node: ColdLimit() for node in self.targets}
        self.nodes = {}
        for number, (node, zone) in enumerate(self.document["origins"].items()):
            view = MeshView(node)
            view.table = RouteTable(self.rows)
            view.proxies = len(self.targets)
            for name, row in self.document["owners"].items():
                view.owners[name] = KnownOwner(row["site"], row["agent"], 1)
            for row in self.targets.values():
                view.apply(self.make_entry(row))
            routing_state = RoutingState(
                view,
                TargetSelector(view, zone, seed=number),
                _make_bounds(snapshot),
                Limits(1e6, 1_000_000),
            )
            self.nodes[node] = SimpleNamespace(zone=zone, view=view, routing_state=routing_state)
            self.nodes[node].executor = RequestExecutor(
                routing_state,
                SimulatedHopTransport(self, self.nodes[node]),
                RunningRequests(),
                "shop",
            )

    def make_entry(self, row):
        if row["cold"]:
            self.cold_limits[row["node"]].cold_until = time.monotonic() + 3.0
        return messages_pb2.Entry(
            kind="target",
            key=row["node"],
            life=1,
            number=1,
            value=messages_pb2.TargetNotice(
                node=row["node"],
                address=row["node"],
                zone=row["zone"],
                region=row["region"],
                instance=row["instance"],
                upstream=row["upstream"],
                slots=row["capacity-slots"],
                state="ready",
                cold_left_ms=3000 if row["cold"] else 0,
                site=row["site"],
                site_agent=row["site-agent"],
            ).SerializeToString(),
        )

    async def run(self, lost, before_loss_seconds=6.0, after_loss_seconds=6.0):
        """Runs traffic before and after the loss of zones; returns the time of the loss."""
        self.start()
        request_generators = [
            asyncio.create_task(self.generate_requests(name, zone))
            for name in ("look", "book")
            for zone in ZONES
            if self.find_nodes(zone)
        ]
        await asyncio.sleep(before_loss_seconds / 9)
        self.report_traffic()
        await asyncio.sleep(before_loss_seconds * 8 / 9)
        self.report_traffic()
        self.document["traffic"] = describe_flows(self.traffic_rates, time.monotonic())
        loss_at = time.monotonic()
        self.lose_zones(lost)
        await asyncio.sleep(after_loss_seconds)
        for task in request_generators + list(self.tasks):
            task.cancel()
        await asyncio.gather(*request_generators, return_exceptions=True)
        return loss_at

    def lose_zones(self, lost):
        self.lost_zones |= lost
        self.loss_at = time.monotonic()
        for task in list(self.tasks):
            if task.zone in lost:
                task.cancel()
        loop = asyncio.get_running_loop()
        loop.call_later(detection_seconds(len(self.nodes)), self.suspect_lost_targets)
        for name, row in self.document["owners"].items():
            if self.document["registries"][row["agent"]] in lost:
                loop.call_later(LEASE_SECONDS, self.lapsed.add, name)

    def suspect_lost_targets(self):
        for node in self.nodes.values():
            node.view.suspects.update(
                name for name, row in self.targets.items() if row["zone"] in self.lost_zones
            )

    def report_traffic(self):
        for name, node in self.nodes.items():
            notice = node.routing_state.traffic.make_report(name, node.zone, ZONES[node.zone], 0.0)
            if notice is not None:
                self.traffic_rates.record(notice, time.monotonic())

    def find_nodes(self, zone):
        return [node for node in self.nodes.values() if node.zone == zone]

    async def generate_requests(self, name, zone):
        while True:
            await asyncio.sleep(self.random.expovariate(self.rate / len(ZONES)))
            current_zone = zone
            if zone in self.lost_zones:
                if not self.clients_move:
                    return
                if time.monotonic() < self.loss_at + 2.0:
                    continue
                current_zone = self.random.choice(sorted(set(ZONES) - self.lost_zones))
            node = self.random.choice(self.find_nodes(current_zone))
            task = asyncio.create_task(self.send_request(name, node))
            task.zone = current_zone
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def send_request(self, name, node):
        self.request_count += 1
        arrived = time.monotonic()
        request = _Request(arrived=arrived, path=f"/{name}/x", attempt_id=f"r{self.request_count}")
        request.answered_by_zone = None
        status, request.interrupted_target_rows = 0, []
        self.current = request
        try:
            status = (await node.executor.serve(request)).status
        finally:
            reached_lost_zone = any(
                row["zone"] in self.lost_zones for row in request.interrupted_target_rows
            )
            self.outcomes.append(
                SimpleNamespace(
                    route=name,
                    arrived=arrived,
                    status=status,
                    reached_lost_zone=reached_lost_zone,
                    zone=request.answered_by_zone,
                )
            )


class SimulatedHopTransport:
    """A hop transport that ends at the slots of a target, or without an answer in a lost zone."""

    def __init__(self, mesh, node):
        self.mesh, self.node = mesh, node

    def has_guard(self, _upstream):
        return True

    async def send(self, peer, head, request, _bound, seconds):
        mesh, row = self.mesh, self.mesh.targets[peer]
        delay = (
            0.0002
            if row["zone"] == self.node.zone
            else (0.001 if ZONES[row["zone"]] == ZONES[self.node.zone] else 0.012)
        )
        await asyncio.sleep(delay)
        is_read = head.route_type == "read_only"
        if row["zone"] in mesh.lost_zones and time.monotonic() > mesh.loss_at + 2.0:
            await asyncio.sleep(0.5)
            return HopResult(HopOutcome.NEVER_OFFERED, step="connect")
        work = asyncio.create_task(self.process(row, head, request))
        try:
            started_at = time.monotonic()
            while not work.done() and row["zone"] not in mesh.lost_zones:
                await asyncio.wait({work}, timeout=0.01)
            if row["zone"] in mesh.lost_zones and not work.done():
                request.interrupted_target_rows.append(row)
                work.cancel()
                wait = 0.45 if is_read else 2.0
                remaining = max(0.0, seconds - (time.monotonic() - started_at))
                asyncio.get_running_loop().call_later(
                    0.45,
                    lambda: self.node.routing_state.selector.note_unresponsive(
                        peer, time.monotonic()
                    ),
                )
                await asyncio.sleep(min(wait, remaining))
                step = "deadline" if remaining < wait else ("silent" if is_read else "connection")
                return HopResult(HopOutcome.UNKNOWN, step=step)
        except asyncio.CancelledError:
            request.interrupted_target_rows.append(row)
            work.cancel()
            raise
        await asyncio.sleep(delay)
        return work.result()

    async def process(self, row, head, request):
        mesh, queue = self.mesh, self.mesh.queues[row["node"]]

        def make_refusal(step):
            return HopResult(
                HopOutcome.NEVER_OFFERED,
                step=step,
                retry_after=0.1,
                load=TargetLoad(queue.running, queue.waiting, queue.limit),
            )

        if row["upstream"] in mesh.lapsed:
            return make_refusal("another owner")
        priority = QueuePriority(head.priority, time.monotonic() + head.aim_left_ms / 1000)
        if not await queue.acquire(priority, head.queue_left_ms / 1000):
            return make_refusal(NO_SLOT)
        try:
            if not mesh.cold_limits[row["node"]].may_offer(time.monotonic(), 4.0 * 1.5 + 5.0 - 2):
                return make_refusal("cold")
            seconds = SERVICE[row["upstream"]] * mesh.random.uniform(0.5, 1.5)
            await asyncio.sleep(seconds)
        finally:
            queue.release()
        queue.note_service(seconds)
        request.answered_by_zone = row["zone"]
        return HopResult(
            HopOutcome.ANSWERED,
            Answer(200),
            load=TargetLoad(queue.running, queue.waiting, queue.limit),
            service_seconds=seconds,
        )
