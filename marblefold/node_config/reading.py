"""Reads and validates the config file of a node.

Each line has the form a.b=value.  Unknown fields are ignored, the type and range of
known ones are checked, and every error names its field.
"""

import os
from collections.abc import Callable, Mapping
from datetime import timedelta

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.node_config.model import Address, Bounds, Cloud, Limits, NodeConfig

__all__ = [
    "Address",
    "Bounds",
    "Cloud",
    "Limits",
    "NodeConfig",
    "list_unknown_fields",
    "parse_config",
    "read_config",
    "read_config_text",
]


def _parse_milliseconds(text: str) -> timedelta:
    return timedelta(milliseconds=_parse_non_negative(text))


def _parse_seconds(text: str) -> timedelta:
    return timedelta(seconds=_parse_non_negative(text))


def _parse_non_negative(text: str) -> float:
    value = float(text)
    if not 0 <= value < 1e9:
        raise ValueError("out of range")
    return value


def _parse_non_negative_integer(text: str) -> int:
    value = int(text)
    if value < 0:
        raise ValueError("below zero")
    return value


def _parse_boolean(text: str) -> bool:
    if text not in ("true", "false"):
        raise ValueError("neither true nor false")
    return text == "true"


def _parse_non_empty(text: str) -> str:
    if not text:
        raise ValueError("empty")
    return text


def _parse_port_range(text: str) -> tuple[int, int]:
    first, last = (int(part) for part in text.split(","))
    if not 0 < first <= last < 65536:
        raise ValueError("not a range of ports")
    return first, last


def _parse_addresses(text: str) -> tuple[Address, ...]:
    return tuple(Address.parse(part.strip()) for part in text.split(",") if part.strip())


class _ConfigFields:
    """The values of a config file by field name."""

    def __init__(self, text: str) -> None:
        self._values = {}
        self._used: set[str] = set()
        for line in text.splitlines():
            name, separator, value = line.strip().partition("=")
            # A line without an equals sign contains no field.
            if separator and not name.startswith("#"):
                self._values[name.strip()] = value.strip()

    def get(self, name: str, convert: Callable, default: object = None):
        """Returns the converted field, or the default.

        Raises MeshError if the field is missing without a default or cannot be converted.
        """
        self._used.add(name)
        text = self._values.get(name)
        if text is None:
            if default is None:
                raise MeshError("config", f"field {name} is missing")
            return default
        try:
            return convert(text)
        except ValueError as error:
            raise MeshError("config", f"field {name} is invalid: {error}") from error

    def __contains__(self, name: str) -> bool:
        return name in self._values

    def with_prefix(self, prefix: str) -> dict:
        """Returns all fields whose names start with the prefix, without the prefix."""
        names = [name for name in self._values if name.startswith(prefix)]
        self._used.update(names)
        return {name[len(prefix) :]: self._values[name] for name in names}

    @property
    def unused(self) -> list[str]:
        """The names of fields in the file that were not read so far, sorted."""
        return sorted(self._values.keys() - self._used)


def _read_bounds(fields: _ConfigFields) -> Bounds:
    # If the platform lists the targets, there is neither evacuation nor a cold start limit,
    # so their bounds are optional.
    is_mesh = "cloud-api.address" not in fields
    defaults = (None, None, None) if is_mesh else (1.5, 5.0, timedelta(seconds=5))
    return Bounds(
        contact_window=fields.get("bounds.contact-window-ms", _parse_milliseconds),
        acknowledgement_time=fields.get("bounds.ack-timeout-ms", _parse_milliseconds),
        catch_up=fields.get("bounds.catch-up-s", _parse_seconds, timedelta(seconds=4)),
        drain_time=fields.get("bounds.drain-timeout-ms", _parse_milliseconds),
        grace_period=fields.get("bounds.grace-period-s", _parse_seconds),
        loss_slack=fields.get("bounds.loss-slack-ms", _parse_milliseconds),
        configuration_apply=fields.get("bounds.config-apply-ms", _parse_milliseconds),
        retry_ratio=fields.get("bounds.retry-budget-ratio", _parse_non_negative),
        retry_window=fields.get("bounds.retry-window-s", _parse_seconds),
        retry_slack=fields.get("bounds.retry-budget-slack", _parse_non_negative),
        cold_overage=fields.get("bounds.cold-overage", _parse_non_negative, defaults[0]),
        cold_slack=fields.get("bounds.cold-slack", _parse_non_negative, defaults[1]),
        evacuation=fields.get("bounds.evacuation-ms", _parse_milliseconds, defaults[2]),
        recovery=fields.get("bounds.recovery-s", _parse_seconds, timedelta(seconds=15)),
    )


def _read_cloud(fields: _ConfigFields) -> Cloud | None:
    address = fields.get("cloud-api.address", Address.parse, "")
    if not address:
        return None
    return Cloud(address, fields.get("cloud-api.rate-per-s", _parse_non_negative, 10.0))


def parse_config(text: str) -> NodeConfig:
    """Returns the validated config; raises MeshError that names the invalid field."""
    return _read_node_config(_ConfigFields(text))


def list_unknown_fields(text: str) -> list[str]:
    """Returns the names of the fields that this version passes over, sorted.

    A newer version, or another kind of deployment, may use them.
    Raises MeshError if a known field is missing or invalid.
    """
    fields = _ConfigFields(text)
    _read_node_config(fields)
    return fields.unused


def _read_node_config(fields: _ConfigFields) -> NodeConfig:
    listen = {}
    for name in fields.with_prefix("listen-addresses."):
        listen[name] = fields.get("listen-addresses." + name, Address.parse)
    return NodeConfig(
        node_name=fields.get("node-name", _parse_non_empty),
        zone=fields.get("zone", _parse_non_empty),
        region=fields.get("region", _parse_non_empty),
        zone_regions=fields.with_prefix("zones."),
        host=fields.get("ip-address", _parse_non_empty),
        listen=listen,
        inner_ports=fields.get("internal-port-range", _parse_port_range),
        seeds=fields.get("seed-nodes", _parse_addresses),
        is_first_start=fields.get("initial-start", _parse_boolean),
        is_loss_counted=fields.get("loss-counted", _parse_boolean, False),
        heartbeat_interval=fields.get("heartbeat-interval-ms", _parse_milliseconds),
        bounds=_read_bounds(fields),
        limits=Limits(
            memory_mb=fields.get("limits.memory-mb", _parse_non_negative),
            file_descriptors=fields.get("limits.max-file-descriptors", _parse_non_negative_integer),
            link_mbps=fields.get("limits.link-mbps", _parse_non_negative, 1000.0),
        ),
        data_directory=fields.get("data-directory", _parse_non_empty, ""),
        app_address=fields.get("app-address", Address.parse, ""),
        upstream=fields.get("upstream", _parse_non_empty, ""),
        cloud=_read_cloud(fields),
        machine_losses=fields.get("fault-tolerance.machine-losses", _parse_non_negative_integer, 1),
        site=fields.get("site-name", _parse_non_empty, ""),
        trace_key=fields.get("trace-key", _parse_non_empty, ""),
        site_agent=fields.get("site-agent", lambda text: str(Address.parse(text)), ""),
    )


def read_config(environment: Mapping[str, str]) -> NodeConfig:
    """Reads the file that MARBLEFOLD_NODE_FILE names.

    Raises MeshError if the variable, the file or a field is missing or invalid.
    """
    return parse_config(read_config_text(environment))


def read_config_text(environment: Mapping[str, str]) -> str:
    """Returns the content of the file that MARBLEFOLD_NODE_FILE names.

    Raises MeshError if the variable or the file is missing, or the file is not UTF-8.
    """
    path = environment.get(wire_names.CONFIG_FILE_VARIABLE)
    if not path:
        raise MeshError("config", f"variable {wire_names.CONFIG_FILE_VARIABLE} is not set")
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except OSError as error:
        raise MeshError("config", f"file {path}: {os.strerror(error.errno or 0)}") from error
    except UnicodeDecodeError as error:
        raise MeshError("config", f"file {path} is not valid UTF-8") from error
