"""Reads and checks the config file of a node.

Each line is a.b=value.  Unknown fields are skipped, required ones are checked
for type and range, and every error names its field.
"""

import os
from collections.abc import Callable, Mapping
from datetime import timedelta

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.node_config.model import Address, Bounds, Cloud, Limits, NodeConfig

__all__ = ["Address", "Bounds", "Cloud", "Limits", "NodeConfig", "read_config", "parse_config"]


def _milliseconds(text: str) -> timedelta:
    return timedelta(milliseconds=_positive(text))


def _seconds(text: str) -> timedelta:
    return timedelta(seconds=_positive(text))


def _positive(text: str) -> float:
    value = float(text)
    if not 0 <= value < 1e9:
        raise ValueError("out of range")
    return value


def _whole(text: str) -> int:
    value = int(text)
    if value < 0:
        raise ValueError("below zero")
    return value


def _truth(text: str) -> bool:
    if text not in ("true", "false"):
        raise ValueError("neither true nor false")
    return text == "true"


def _word(text: str) -> str:
    if not text:
        raise ValueError("empty")
    return text


def _port_range(text: str) -> tuple[int, int]:
    first, last = (int(part) for part in text.split(","))
    if not 0 < first <= last < 65536:
        raise ValueError("not a range of ports")
    return first, last


def _addresses(text: str) -> tuple[Address, ...]:
    return tuple(Address.parse(part.strip()) for part in text.split(",") if part.strip())


class _Lines:
    """The lines of a config file by field name."""

    def __init__(self, text: str) -> None:
        self._values = {}
        for line in text.splitlines():
            name, separator, value = line.strip().partition("=")
            # A line without an equals sign holds no field.
            if separator and not name.startswith("#"):
                self._values[name.strip()] = value.strip()

    def get(self, name: str, convert: Callable, default: object = None):
        """The converted field, or the default.

        Raises MeshError where it is missing without a default or cannot be converted.
        """
        text = self._values.get(name)
        if text is None:
            if default is None:
                raise MeshError("config", f"field {name} is missing")
            return default
        try:
            return convert(text)
        except ValueError as error:
            raise MeshError("config", f"field {name} is bad: {error}") from error

    def __contains__(self, name: str) -> bool:
        return name in self._values

    def under(self, prefix: str) -> dict:
        """All fields that begin with the prefix, by the rest of their names."""
        return {
            name[len(prefix) :]: value
            for name, value in self._values.items()
            if name.startswith(prefix)
        }


def _read_bounds(lines: _Lines) -> Bounds:
    # Where the platform keeps the list there is no evacuation and no cold limit.
    is_mesh = "cloud-api.address" not in lines
    defaults = (None, None, None) if is_mesh else (1.5, 5.0, timedelta(seconds=5))
    return Bounds(
        contact_window=lines.get("bounds.contact-window-ms", _milliseconds),
        acknowledgement_time=lines.get("bounds.ack-timeout-ms", _milliseconds),
        catch_up=lines.get("bounds.catch-up-s", _seconds, timedelta(seconds=4)),
        drain_time=lines.get("bounds.drain-timeout-ms", _milliseconds),
        grace_period=lines.get("bounds.grace-period-s", _seconds),
        loss_slack=lines.get("bounds.loss-slack-ms", _milliseconds),
        configuration_apply=lines.get("bounds.config-apply-ms", _milliseconds),
        retry_ratio=lines.get("bounds.retry-budget-ratio", _positive),
        retry_window=lines.get("bounds.retry-window-s", _seconds),
        retry_slack=lines.get("bounds.retry-budget-slack", _positive),
        cold_overage=lines.get("bounds.cold-overage", _positive, defaults[0]),
        cold_slack=lines.get("bounds.cold-slack", _positive, defaults[1]),
        evacuation=lines.get("bounds.evacuation-ms", _milliseconds, defaults[2]),
        recovery=lines.get("bounds.recovery-s", _seconds, timedelta(seconds=15)),
    )


def _read_cloud(lines: _Lines) -> Cloud | None:
    address = lines.get("cloud-api.address", Address.parse, "")
    if not address:
        return None
    return Cloud(address, lines.get("cloud-api.rate-per-s", _positive, 10.0))


def parse_config(text: str) -> NodeConfig:
    """The checked config of a node. Raises MeshError that names the bad field."""
    lines = _Lines(text)
    listen = {}
    for name in lines.under("listen-addresses."):
        listen[name] = lines.get("listen-addresses." + name, Address.parse)
    return NodeConfig(
        node_name=lines.get("node-name", _word),
        zone=lines.get("zone", _word),
        region=lines.get("region", _word),
        zone_regions=lines.under("zones."),
        host=lines.get("ip-address", _word),
        listen=listen,
        inner_ports=lines.get("internal-port-range", _port_range),
        seeds=lines.get("seed-nodes", _addresses),
        is_first_start=lines.get("initial-start", _truth),
        is_loss_counted=lines.get("loss-counted", _truth, False),
        heartbeat_interval=lines.get("heartbeat-interval-ms", _milliseconds),
        bounds=_read_bounds(lines),
        limits=Limits(
            memory_mb=lines.get("limits.memory-mb", _positive),
            file_descriptors=lines.get("limits.max-file-descriptors", _whole),
            link_mbps=lines.get("limits.link-mbps", _positive, 1000.0),
        ),
        data_directory=lines.get("data-directory", _word, ""),
        app_address=lines.get("app-address", Address.parse, ""),
        upstream=lines.get("upstream", _word, ""),
        cloud=_read_cloud(lines),
        machine_losses=lines.get("fault-tolerance.machine-losses", _whole, 1),
        site=lines.get("site-name", _word, ""),
        trace_key=lines.get("trace-key", _word, ""),
        site_agent=lines.get("site-agent", lambda text: str(Address.parse(text)), ""),
    )


def read_config(environment: Mapping[str, str]) -> NodeConfig:
    """Reads the file named by MARBLEFOLD_NODE_FILE.

    Raises MeshError where the variable, the file or a field is missing or bad.
    """
    path = environment.get(wire_names.CONFIG_FILE_VARIABLE)
    if not path:
        raise MeshError("config", f"variable {wire_names.CONFIG_FILE_VARIABLE} is not set")
    try:
        with open(path, encoding="utf-8") as file:
            return parse_config(file.read())
    except OSError as error:
        raise MeshError("config", f"file {path}: {os.strerror(error.errno or 0)}") from error
    except UnicodeDecodeError as error:
        raise MeshError("config", f"file {path} is not text") from error
