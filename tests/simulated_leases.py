"""Simulated nodes, registries and one register on a clock that the test advances."""

import types

from marblefold.errors import MeshError
from marblefold.gateway.partner_hops import PartnerHops
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.leases.granting import LeaseGranter
from marblefold.partners.coordinator import ENFORCED_AFTER, PartnerCoordinator
from marblefold.partners.document import PartnersDocument
from marblefold.partners.partner_table import build_partner_table
from marblefold.proxy.lease_client import LeaseClient
from marblefold.request_path.mesh_view import MeshView

HOST = "dealer"


def make_document(prefixes):
    return PartnersDocument(
        {
            "dealer": {
                "number": 1,
                "hosts": [HOST],
                "address": "10.0.0.1:80",
                "credential": "",
                "lapse-after-s": 1e6,
                "withdrawn": False,
                "lapsed": False,
                "reads": 1,
                "exports-number": 1,
                "exports": [
                    {
                        "host": HOST,
                        "prefix": prefix,
                        "kind": "read_only",
                        "timeout-ms": 1000,
                        "latency-ms": 100,
                    }
                    for prefix in sorted(prefixes)
                ],
            }
        }
    ).pack()


class World:
    """The true time, the register as a majority stores it, and what nodes forwarded."""

    def __init__(self):
        self.now = 100.0
        self.number, self.value = 0, b""
        self.history = {0: frozenset()}
        self.acknowledged = 0
        self.pending_acknowledgements = []
        self.withdrawn_forwarded = 0
        self.forwarded = 0

    def change_exports(self, prefixes, rate=1.0):
        self.number += 1
        self.value = make_document(prefixes)
        self.history[self.number] = frozenset(prefixes)
        # The acknowledging registry waits on its own clock.
        due_at = self.now + ENFORCED_AFTER.total_seconds() / rate
        self.pending_acknowledgements.append((due_at, self.number))

    def advance_clock(self, seconds):
        self.now += seconds
        for due_at, number in self.pending_acknowledgements:
            if due_at <= self.now:
                self.acknowledged = max(self.acknowledged, number)

    def forward(self, prefix):
        self.forwarded += 1
        # A prefix is allowed if any document exports it that is not older than the
        # newest one acknowledged as enforced.
        if not any(
            prefix in prefixes
            for number, prefixes in self.history.items()
            if number >= self.acknowledged
        ):
            self.withdrawn_forwarded += 1


class SimulatedRegistry:
    """The real coordinator and lease granter, with a read that the test can prolong."""

    def __init__(self, world, rate):
        self.world, self.rate, self.reading = world, rate, None
        self.is_cut = False
        self.restart()

    def restart(self):
        self.drop_read()
        self.coordinator = PartnerCoordinator(
            self, lambda: False, clock=lambda: self.world.now * self.rate
        )
        self.granter = LeaseGranter(self.coordinator)

    async def ask(self, kind, register, number=0, value=b""):
        if self.is_cut:
            raise MeshError(kind, "cut off")
        seen = types.SimpleNamespace(number=self.world.number, value=self.world.value)
        await _Pause()
        return seen

    def begin_read(self):
        self.drop_read()
        self.reading = self.coordinator.step()
        self._resume()

    def end_read(self):
        if self.reading is not None:
            self._resume()

    def drop_read(self):
        if self.reading is not None:
            self.reading.close()
            self.reading = None

    def _resume(self):
        try:
            self.reading.send(None)
        except (StopIteration, MeshError):
            self.reading = None


class _Pause:
    def __await__(self):
        yield


class SimulatedNode:
    """The real view, lease client and partner forwarding of one node."""

    def __init__(self, world, rate):
        self.world, self.rate = world, rate
        self.restart()

    def restart(self):
        self.view = MeshView("node")
        self.lease_client = LeaseClient("node", self.view)
        self.hops = PartnerHops(None, None, self.view)
        self.entered = []

    @property
    def clock(self):
        return self.world.now * self.rate

    def receive_document(self, number, value):
        self.view.apply(
            messages_pb2.Entry(kind="partners", key="partners", number=number, value=value)
        )

    def request_lease(self):
        return self.lease_client.make_request("registry", self.clock)

    def enter(self, prefix):
        request = types.SimpleNamespace(host=HOST, path=prefix + "x")
        route = self.view.find_partner_route(request.host, request.path, self.clock)
        if route is not None:
            self.entered.append((prefix, request))

    def leave(self):
        entered, self.entered = self.entered, []
        for prefix, request in entered:
            if self.hops.is_still_allowed("dealer", "10.0.0.1:80", request, self.clock):
                self.world.forward(prefix)


def compute_digest(world):
    return build_partner_table(world.number, world.value).digest
