"""The state that a rehearsal starts from: one file in a documented, versioned form.

It is taken from a running registry and may be kept and rehearsed later.  What
it lacks is listed as gaps; its age is known.
"""

import json
from datetime import UTC, datetime, timedelta
from typing import NamedTuple

from marblefold.configuration.reading import InvalidConfiguration
from marblefold.errors import MeshError
from marblefold.planner.facts import Facts, read_configuration_rows, read_state
from marblefold.registry.traffic_rates import Flow
from marblefold.request_path.mesh_view import KnownOwner

__all__ = ["ASSUMED_KILOBYTES", "FORMAT", "RetryBounds", "Snapshot", "VERSION", "read_snapshot"]

FORMAT = "marblefold-snapshot"
VERSION = 1
ASSUMED_KILOBYTES = 1.0
_OLD = timedelta(minutes=10)
_OLD_FLOW_SECONDS = 30.0


class RetryBounds(NamedTuple):
    """The retry budget that all nodes share."""

    ratio: float
    window: timedelta
    slack: float


class Snapshot(NamedTuple):
    """A checked snapshot; `service_seconds` by upstream, `registries` address to zone."""

    taken_at: datetime
    facts: Facts
    zone_regions: dict[str, str]
    # Where requests begin: nodes and their zones.
    origins: dict[str, str]
    flows: tuple[Flow, ...]
    service_seconds: dict[str, float]
    registries: dict[str, str]
    owners: dict[str, KnownOwner]
    has_partners: bool
    retry: RetryBounds
    gaps: tuple[str, ...]

    def age(self, now: datetime) -> timedelta:
        """Time since the snapshot was taken."""
        return now - self.taken_at


class _Fields:
    """The fields of a document; collects every fault with its place."""

    def __init__(self, document: dict) -> None:
        self.document = document
        self.faults: list[MeshError] = []

    def get(self, name: str, kind: type | tuple, default=None):
        value = self.document.get(name, default)
        if not isinstance(value, kind) or isinstance(value, bool) and kind is not bool:
            self.fault(name, "missing or of the wrong kind")
            return default
        return value

    def fault(self, place: str, reason: str) -> None:
        self.faults.append(MeshError("snapshot", f"{place}: {reason}"))

    def texts(self, name: str) -> dict[str, str]:
        found = self.get(name, dict, {}) or {}
        return {str(key): str(value) for key, value in found.items()}


def read_snapshot(body: bytes) -> Snapshot:
    """The checked snapshot. Raises an ExceptionGroup of MeshError, one for each fault."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _refuse([MeshError("snapshot", f"cannot be read: {error}")]) from error
    if not isinstance(document, dict) or document.get("format") != FORMAT:
        raise _refuse([MeshError("snapshot", f"format: not a {FORMAT}")])
    if document.get("version") != VERSION:
        raise _refuse(
            [MeshError("snapshot", f"version: {document.get('version')!r}, this reads {VERSION}")]
        )
    fields = _Fields(document)
    facts = _read_facts(fields)
    taken_at = _read_time(fields)
    zone_regions = fields.texts("zones")
    flows = _read_flows(fields, zone_regions)
    retry = _read_retry(fields)
    service = {}
    for name, seconds in (fields.get("service-seconds", dict, {}) or {}).items():
        if (
            not isinstance(seconds, (int, float))
            or isinstance(seconds, bool)
            or not (0 < seconds < 1e6)
        ):
            fields.fault(f"service-seconds.{name}", "not a time above 0")
        else:
            service[str(name)] = float(seconds)
    owners = {}
    for name, row in (fields.get("owners", dict, {}) or {}).items():
        if not isinstance(row, dict):
            fields.fault(f"owners.{name}", "not an object")
            continue
        owners[str(name)] = KnownOwner(str(row.get("site", "")), str(row.get("agent", "")), 1)
    if not zone_regions:
        fields.fault("zones", "none")
    elif facts is not None and not facts.targets:
        fields.fault("state.targets", "none: there is nothing to rehearse with")
    # Facts are missing only where a fault says why.
    if fields.faults or facts is None:
        raise _refuse(fields.faults)
    return Snapshot(
        taken_at,
        facts,
        zone_regions,
        fields.texts("origins"),
        flows,
        service,
        fields.texts("registries"),
        owners,
        bool(document.get("partners")),
        retry,
        tuple(_find_gaps(document, facts, flows, service)),
    )


def _refuse(faults: list[MeshError]) -> ExceptionGroup:
    return ExceptionGroup("snapshot", faults)


def _read_facts(fields: _Fields) -> Facts | None:
    configuration, state = fields.get("configuration", dict), fields.get("state", dict)
    if configuration is None or state is None:
        return None
    try:
        return Facts(
            read_configuration_rows(json.dumps(configuration).encode()),
            *read_state(json.dumps(state).encode()),
        )
    except InvalidConfiguration as invalid:
        for fault in invalid.faults:
            fields.fault("configuration", str(fault))
    except MeshError as error:
        fields.faults.append(error)
    return None


def _read_time(fields: _Fields) -> datetime:
    text = fields.get("taken-at", str, "")
    try:
        taken_at = datetime.fromisoformat(text)
    except ValueError:
        fields.fault("taken-at", "not a time")
        return datetime.now(UTC)
    if taken_at.tzinfo is None:
        fields.fault("taken-at", "without a time zone")
    return taken_at


def _read_flows(fields: _Fields, zones: dict[str, str]) -> tuple[Flow, ...]:
    flows = []
    for index, row in enumerate(fields.get("traffic", list, []) or []):
        try:
            flow = Flow(
                str(row["route"]),
                str(row["zone"]),
                float(row["per-second"]),
                float(row["seconds"]),
                float(row.get("refused-share", 0)),
                float(row.get("unknown-share", 0)),
                float(row.get("age-s", 0)),
                float(row["kilobytes"]) if "kilobytes" in row else None,
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            fields.fault(f"traffic[{index}]", f"{type(error).__name__} {error}")
            continue
        if not 0 <= flow.per_second < 1e7:
            fields.fault(f"traffic[{index}].per-second", "out of range")
        elif flow.kilobytes is not None and not 0 <= flow.kilobytes < 1e9:
            fields.fault(f"traffic[{index}].kilobytes", "out of range")
        elif flow.zone not in zones:
            fields.fault(f"traffic[{index}].zone", f"no zone {flow.zone!r}")
        else:
            flows.append(flow)
    return tuple(flows)


def _read_retry(fields: _Fields) -> RetryBounds:
    row = fields.get("retry-budget", dict, {}) or {}
    try:
        return RetryBounds(
            float(row.get("ratio", 0.2)),
            timedelta(seconds=float(row.get("window-s", 10))),
            float(row.get("slack", 0)),
        )
    except (TypeError, ValueError, OverflowError) as error:
        fields.fault("retry-budget", str(error))
        return RetryBounds(0.0, timedelta(seconds=10), 0.0)


def _find_gaps(document: dict, facts: Facts, flows, service: dict[str, float]):
    heard, nodes = document.get("nodes-heard"), document.get("nodes")
    if not flows:
        yield "no traffic is known: no figure of requests rests on anything"
    elif isinstance(heard, int) and isinstance(nodes, int) and heard < nodes:
        yield f"traffic of {heard} of {nodes} nodes is known"
    old = sum(1 for flow in flows if flow.age_seconds > _OLD_FLOW_SECONDS)
    if old:
        yield f"{old} of {len(flows)} rates are older than {_OLD_FLOW_SECONDS:g} s"
    unweighed = sorted({flow.route for flow in flows if flow.kilobytes is None})
    for name in unweighed:
        yield (
            f"{name}: how much its requests move is not known; {ASSUMED_KILOBYTES:g} kB is "
            "assumed, so what stays in its zone may be off"
        )
    for upstream in sorted({target.upstream for target in facts.targets} - set(service)):
        yield f"{upstream}: how long its targets take is not known, and taken from the whole time"
    known = {route.name for route in facts.rows.routes}
    for name in sorted({flow.route for flow in flows} - known):
        shown = name or "routes counted as one"
        yield f"traffic of {shown} belongs to no route of the configuration"


def is_old(snapshot: Snapshot, now: datetime) -> bool:
    """Whether the snapshot is too old to describe the present state."""
    return snapshot.age(now) > _OLD
