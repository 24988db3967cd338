"""Code, OpenAPI file and wire choices name the same things."""

import json
import pathlib
import tomllib

import yaml

from marblefold import wire_names
from marblefold.configuration import model
from marblefold.history.keeper import HistoryKeeper
from marblefold.http_connections.call_router import CallRouter
from marblefold.maintenance.calls import MaintenanceCalls
from marblefold.ownership.calls import OwnerCalls
from marblefold.partners import orders
from marblefold.partners.calls import PartnerCalls
from marblefold.proxy.heartbeat_calls import HeartbeatCalls, parse_heartbeat
from marblefold.registry.control_calls import ControlCalls
from marblefold.rehearsal.calls import RehearsalCalls
from marblefold.tracing.calls import TraceCalls

ROOT = pathlib.Path(__file__).parent.parent
API = yaml.safe_load((ROOT / "api/openapi.yaml").read_text())
WIRE = tomllib.loads((ROOT / "deploy/wire.toml").read_text())
SCHEMAS = API["components"]["schemas"]


class RecordingRouter(CallRouter):
    def __init__(self):
        super().__init__()
        self.calls = set()

    def add(self, method, path, serve, max_body_bytes=4096):
        self.calls.add((method, path))
        super().add(method, path, serve, max_body_bytes)


def test_the_calls_served_are_those_described():
    router = RecordingRouter()
    HeartbeatCalls(None, "").add_to(router)
    ControlCalls(None, set, dict).add_to(router)
    MaintenanceCalls(None, set, dict).add_to(router)
    PartnerCalls(None, None, dict).add_to(router)
    OwnerCalls(None, None).add_to(router)
    TraceCalls(None, None).add_to(router)
    RehearsalCalls(None, dict).add_to(router)
    HistoryKeeper("").add_to(router)
    served = router.calls | {wire_names.READINESS_CALL}
    described = set()
    for path, operations in API["paths"].items():
        bare = "/".join("{}" if part.startswith("{") else part for part in path.split("/"))
        described |= {(method.upper(), bare) for method in operations if method != "parameters"}
    assert served == described
    moved = {tuple(call.split(" ")) for call in WIRE["calls"].values()}
    assert moved == described - {wire_names.READINESS_CALL, ("GET", wire_names.STATE_PATH)} - {
        call
        for call in described
        if call[1].split("/")[2]
        in (
            "maintenance",
            "partners",
            "exports",
            "owners",
            "traces",
            "doubles",
            "snapshot",
            "history",
            "rehearsal",
        )
    }


def test_the_model_of_a_configuration_has_the_fields_described():
    for kind in (
        model.Configuration,
        model.Route,
        model.Split,
        model.Upstream,
        model.Limits,
        orders.Grant,
        orders.Exports,
        orders.Export,
    ):
        fields = {field.name.replace("_", "-") for field in kind.__attrs_attrs__}
        assert fields == set(SCHEMAS[kind.__name__]["properties"]), kind


def test_the_renamed_fields_are_the_ones_the_code_uses():
    described = {name for schema in SCHEMAS.values() for name in schema.get("properties", ())}
    spelled = {
        value
        for name, value in vars(wire_names).items()
        if name.isupper() and isinstance(value, str)
    }
    # Fields of the config file are checked where that file is read.
    reading = (ROOT / "marblefold/node_config/reading.py").read_text()
    # The fields that keep the operators' own names are held to the same.
    kept = {
        "config-version",
        "route-list",
        "route-type",
        "timeout-ms",
        "max-attempts",
        "allowed-regions",
        "weighted-targets",
        "service-list",
        "max-connections",
        "call-sequence",
        "heartbeat-interval-ms",
        "seed-nodes",
        "config-apply-ms",
    }
    for name in set(WIRE["fields"].values()) | kept:
        assert (
            name in described & spelled or f'"{name}"' in reading or f'"bounds.{name}"' in reading
        ), name


def test_a_beat_as_described_is_read():
    properties = SCHEMAS["Beat"]["properties"]
    samples = {"string": "x", "integer": 3, "number": 2.5}
    beat = {name: samples[field["type"]] for name, field in properties.items()}
    beat["state"] = "draining"
    assert parse_heartbeat("i-1", json.dumps(beat).encode()).is_draining
    for name in SCHEMAS["Beat"]["required"]:
        lacking = {key: value for key, value in beat.items() if key != name}
        try:
            parse_heartbeat("i-1", json.dumps(lacking).encode())
        except ValueError as error:
            assert name in str(error)
        else:
            raise AssertionError(f"a beat without {name} was taken")
