"""Reads and validates the input of a plan: configuration, targets and floors."""

import json
from typing import NamedTuple

from marblefold import wire_names
from marblefold.configuration.reading import read_configuration
from marblefold.configuration.row_encoding import encode_rows
from marblefold.configuration.rows import ConfigurationRows, decode_rows
from marblefold.errors import MeshError
from marblefold.request_path.mesh_view import KnownTarget

__all__ = ["MeshState", "read_floors", "read_configuration_rows", "read_state"]


class MeshState(NamedTuple):
    """The current state of the mesh, or the state after a change."""

    rows: ConfigurationRows
    targets: tuple[KnownTarget, ...]
    evacuated: frozenset[str]
    members: tuple[str, ...]


def read_configuration_rows(body: bytes) -> ConfigurationRows:
    """Returns the rows of a configuration, validated as registries validate it.

    Raises InvalidConfiguration with all errors.
    """
    return decode_rows(encode_rows(read_configuration(body)))


def read_state(body: bytes) -> tuple[tuple[KnownTarget, ...], frozenset[str], tuple[str, ...]]:
    """Returns targets, evacuated zones and store members from a registry's state document.

    Raises a MeshError that names the invalid field.
    """
    document = _read_object(body, "state")
    targets = []
    for index, row in enumerate(_read_list(document, "targets", "state")):
        try:
            targets.append(
                KnownTarget(
                    node=str(row.get("node", "")),
                    peer="",
                    zone=row[wire_names.ZONE],
                    region=row.get("region", ""),
                    instance=row["instance"],
                    upstream=row[wire_names.UPSTREAM],
                    slots=int(row[wire_names.CAPACITY_SLOTS]),
                    site=str(row.get("site", "")),
                    site_agent=str(row.get("site-agent", "")),
                    is_draining=row.get(wire_names.STATE) == wire_names.DRAINING,
                    cold_until=float(bool(row.get("cold"))),
                    is_leaving=bool(row.get("leaving")),
                )
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise MeshError("state", f"targets[{index}]: {error}") from error
    evacuated = frozenset(map(str, _read_list(document, "evacuated", "state")))
    return tuple(targets), evacuated, tuple(map(str, _read_list(document, "members", "state")))


def read_floors(body: bytes) -> dict[str, int]:
    """Returns the slots that must remain, by upstream.

    Raises a MeshError that names the upstream with an invalid number.
    """
    document = _read_object(body, "floors")
    floors = {}
    for upstream, slots in document.items():
        if isinstance(slots, bool) or not isinstance(slots, int) or slots < 0:
            raise MeshError("floors", f"{upstream}: not a number of slots: {slots!r}")
        floors[upstream] = slots
    return floors


def _read_object(body: bytes, step: str) -> dict:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise MeshError(step, str(error)) from error
    if not isinstance(document, dict):
        raise MeshError(step, "not an object")
    return document


def _read_list(document: dict, name: str, step: str) -> list:
    value = document.get(name, [])
    if not isinstance(value, list):
        raise MeshError(step, f"{name}: not a list")
    return value
