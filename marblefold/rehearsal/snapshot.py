"""Reads snapshots: the state that a rehearsal starts from, in a versioned file format.

A snapshot is taken from a running registry and may be saved for a later rehearsal.
It contains the time at which it was taken; what it lacks is listed as gaps.
"""

import json
from datetime import UTC, datetime, timedelta
from typing import NamedTuple

from marblefold.configuration.reading import InvalidConfiguration
from marblefold.errors import MeshError
from marblefold.planner.mesh_state import MeshState, read_configuration_rows, read_state
from marblefold.registry.traffic_rates import Flow
from marblefold.request_path.mesh_view import KnownOwner

__all__ = [
    "ASSUMED_KILOBYTES",
    "FORMAT",
    "RetryBudgetSettings",
    "Snapshot",
    "VERSION",
    "read_snapshot",
]

FORMAT = "marblefold-snapshot"
VERSION = 1
ASSUMED_KILOBYTES = 1.0
_STALE_AGE = timedelta(minutes=10)
_STALE_FLOW_SECONDS = 30.0


class RetryBudgetSettings(NamedTuple):
    """The settings of the retry budget, which are the same on all nodes."""

    ratio: float
    window: timedelta
    slack: float


class Snapshot(NamedTuple):
    """A validated snapshot.

    `service_seconds` gives service times by upstream, `registries` zones by address.
    """

    taken_at: datetime
    mesh_state: MeshState
    zone_regions: dict[str, str]
    # The zones of the nodes where requests originate, by node name.
    origins: dict[str, str]
    flows: tuple[Flow, ...]
    service_seconds: dict[str, float]
    registries: dict[str, str]
    owners: dict[str, KnownOwner]
    has_partners: bool
    retry_budget: RetryBudgetSettings
    gaps: tuple[str, ...]

    def age(self, now: datetime) -> timedelta:
        """Returns the time since the snapshot was taken."""
        return now - self.taken_at


class _Fields:
    """Reads the fields of a document; collects an error for each invalid one."""

    def __init__(self, document: dict) -> None:
        self.document = document
        self.errors: list[MeshError] = []

    def get(self, name: str, expected_type: type | tuple, default=None):
        value = self.document.get(name, default)
        if (
            not isinstance(value, expected_type)
            or isinstance(value, bool)
            and expected_type is not bool
        ):
            self.add_error(name, "missing or of the wrong kind")
            return default
        return value

    def add_error(self, place: str, reason: str) -> None:
        self.errors.append(MeshError("snapshot", f"{place}: {reason}"))

    def get_strings(self, name: str) -> dict[str, str]:
        found = self.get(name, dict, {}) or {}
        return {str(key): str(value) for key, value in found.items()}


def read_snapshot(body: bytes) -> Snapshot:
    """Returns the validated snapshot.

    Raises an ExceptionGroup with a MeshError for each invalid field.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _group_errors([MeshError("snapshot", f"cannot be read: {error}")]) from error
    if not isinstance(document, dict) or document.get("format") != FORMAT:
        raise _group_errors([MeshError("snapshot", f"format: not a {FORMAT}")])
    if document.get("version") != VERSION:
        raise _group_errors(
            [MeshError("snapshot", f"version: {document.get('version')!r}, this reads {VERSION}")]
        )
    fields = _Fields(document)
    mesh_state = _read_mesh_state(fields)
    taken_at = _read_time(fields)
    zone_regions = fields.get_strings("zones")
    flows = _read_flows(fields, zone_regions)
    retry_budget = _read_retry_budget(fields)
    service_seconds = {}
    for name, seconds in (fields.get("service-seconds", dict, {}) or {}).items():
        if (
            not isinstance(seconds, (int, float))
            or isinstance(seconds, bool)
            or not (0 < seconds < 1e6)
        ):
            fields.add_error(f"service-seconds.{name}", "not a time above 0")
        else:
            service_seconds[str(name)] = float(seconds)
    owners = {}
    for name, row in (fields.get("owners", dict, {}) or {}).items():
        if not isinstance(row, dict):
            fields.add_error(f"owners.{name}", "not an object")
            continue
        owners[str(name)] = KnownOwner(str(row.get("site", "")), str(row.get("agent", "")), 1)
    if not zone_regions:
        fields.add_error("zones", "none")
    elif mesh_state is not None and not mesh_state.targets:
        fields.add_error("state.targets", "none: there is nothing to rehearse with")
    # The state is missing only if an error gives the reason.
    if fields.errors or mesh_state is None:
        raise _group_errors(fields.errors)
    return Snapshot(
        taken_at,
        mesh_state,
        zone_regions,
        fields.get_strings("origins"),
        flows,
        service_seconds,
        fields.get_strings("registries"),
        owners,
        bool(document.get("partners")),
        retry_budget,
        tuple(_find_gaps(document, mesh_state, flows, service_seconds)),
    )


def _group_errors(errors: list[MeshError]) -> ExceptionGroup:
    return ExceptionGroup("snapshot", errors)


def _read_mesh_state(fields: _Fields) -> MeshState | None:
    configuration, state = fields.get("configuration", dict), fields.get("state", dict)
    if configuration is None or state is None:
        return None
    try:
        return MeshState(
            read_configuration_rows(json.dumps(configuration).encode()),
            *read_state(json.dumps(state).encode()),
        )
    except InvalidConfiguration as invalid:
        for error in invalid.problems:
            fields.add_error("configuration", str(error))
    except MeshError as error:
        fields.errors.append(error)
    return None


def _read_time(fields: _Fields) -> datetime:
    text = fields.get("taken-at", str, "")
    try:
        taken_at = datetime.fromisoformat(text)
    except ValueError:
        fields.add_error("taken-at", "not a time")
        return datetime.now(UTC)
    if taken_at.tzinfo is None:
        fields.add_error("taken-at", "without a time zone")
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
            fields.add_error(f"traffic[{index}]", f"{type(error).__name__} {error}")
            continue
        if not 0 <= flow.per_second < 1e7:
            fields.add_error(f"traffic[{index}].per-second", "out of range")
        elif flow.kilobytes is not None and not 0 <= flow.kilobytes < 1e9:
            fields.add_error(f"traffic[{index}].kilobytes", "out of range")
        elif flow.zone not in zones:
            fields.add_error(f"traffic[{index}].zone", f"no zone {flow.zone!r}")
        else:
            flows.append(flow)
    return tuple(flows)


def _read_retry_budget(fields: _Fields) -> RetryBudgetSettings:
    row = fields.get("retry-budget", dict, {}) or {}
    try:
        return RetryBudgetSettings(
            float(row.get("ratio", 0.2)),
            timedelta(seconds=float(row.get("window-s", 10))),
            float(row.get("slack", 0)),
        )
    except (TypeError, ValueError, OverflowError) as error:
        fields.add_error("retry-budget", str(error))
        return RetryBudgetSettings(0.0, timedelta(seconds=10), 0.0)


def _find_gaps(document: dict, mesh_state: MeshState, flows, service_seconds: dict[str, float]):
    reporting, nodes = document.get("nodes-heard"), document.get("nodes")
    if not flows:
        yield "no traffic is known: no figure of requests rests on anything"
    elif isinstance(reporting, int) and isinstance(nodes, int) and reporting < nodes:
        yield f"traffic of {reporting} of {nodes} nodes is known"
    stale = sum(1 for flow in flows if flow.age_seconds > _STALE_FLOW_SECONDS)
    if stale:
        yield f"{stale} of {len(flows)} rates are older than {_STALE_FLOW_SECONDS:g} s"
    routes_without_size = sorted({flow.route for flow in flows if flow.kilobytes is None})
    for name in routes_without_size:
        yield (
            f"{name}: how much its requests move is not known; {ASSUMED_KILOBYTES:g} kB is "
            "assumed, so what stays in its zone may be off"
        )
    without_time = {target.upstream for target in mesh_state.targets} - set(service_seconds)
    for upstream in sorted(without_time):
        yield f"{upstream}: how long its targets take is not known, and taken from the whole time"
    configured = {route.name for route in mesh_state.rows.routes}
    for name in sorted({flow.route for flow in flows} - configured):
        shown = name or "routes counted as one"
        yield f"traffic of {shown} belongs to no route of the configuration"


def is_stale(snapshot: Snapshot, now: datetime) -> bool:
    """Whether the snapshot is too old to describe the current state."""
    return snapshot.age(now) > _STALE_AGE
