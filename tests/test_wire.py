"""Tests that the code, the OpenAPI file and deploy/wire.toml use the same names."""

import json
import pathlib
import tomllib

import yaml

from marblefold import wire_names
from marblefold.configuration import model
from marblefold.history.recorder import HistoryRecorder
from marblefold.http_connections.call_router import CallRouter
from marblefold.maintenance.calls import MaintenanceCalls
from marblefold.ownership.calls import OwnerCalls
from marblefold.partners import request_bodies
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


def test_the_served_calls_match_the_api_description():
    router = RecordingRouter()
    HeartbeatCalls(None, "").add_to(router)
    ControlCalls(None, set, dict).add_to(router)
    MaintenanceCalls(None, set, dict).add_to(router)
    PartnerCalls(None, None, dict).add_to(router)
    OwnerCalls(None, None).add_to(router)
    TraceCalls(None, None).add_to(router)
    RehearsalCalls(None, dict).add_to(router)
    HistoryRecorder("").add_to(router)
    served = router.calls | {wire_names.READINESS_CALL}
    described = set()
    for path, operations in API["paths"].items():
        template = "/".join("{}" if part.startswith("{") else part for part in path.split("/"))
        described |= {(method.upper(), template) for method in operations if method != "parameters"}
    assert served == described
    renamed = {tuple(call.split(" ")) for call in WIRE["calls"].values()}
    assert renamed == described - {wire_names.READINESS_CALL, ("GET", wire_names.STATE_PATH)} - {
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


def test_the_configuration_model_matches_the_api_description():
    for model_class in (
        model.Configuration,
        model.Route,
        model.Split,
        model.Upstream,
        model.Limits,
        request_bodies.Grant,
        request_bodies.Exports,
        request_bodies.Export,
    ):
        fields = {field.name.replace("_", "-") for field in model_class.__attrs_attrs__}
        assert fields == set(SCHEMAS[model_class.__name__]["properties"]), model_class


def test_the_code_uses_the_renamed_fields():
    described = {name for schema in SCHEMAS.values() for name in schema.get("properties", ())}
    spelled_out = {
        value
        for name, value in vars(wire_names).items()
        if name.isupper() and isinstance(value, str)
    }
    # The module that parses the config file spells out its fields.
    parser_source = (ROOT / "marblefold/node_config/reading.py").read_text()
    # Fields that keep the operators' names must be used as well.
    unchanged = {
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
    for name in set(WIRE["fields"].values()) | unchanged:
        assert (
            name in described & spelled_out
            or f'"{name}"' in parser_source
            or f'"bounds.{name}"' in parser_source
        ), name


def test_a_heartbeat_that_matches_the_description_is_parsed():
    properties = SCHEMAS["Beat"]["properties"]
    samples = {"string": "x", "integer": 3, "number": 2.5}
    heartbeat = {name: samples[field["type"]] for name, field in properties.items()}
    heartbeat["state"] = "draining"
    assert parse_heartbeat("i-1", json.dumps(heartbeat).encode()).is_draining
    for name in SCHEMAS["Beat"]["required"]:
        incomplete = {key: value for key, value in heartbeat.items() if key != name}
        try:
            parse_heartbeat("i-1", json.dumps(incomplete).encode())
        except ValueError as error:
            assert name in str(error)
        else:
            raise AssertionError(f"a heartbeat without {name} was accepted")
