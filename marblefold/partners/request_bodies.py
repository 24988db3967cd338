"""Parses and validates the grants of operators and the exports of partners."""

from datetime import timedelta
from typing import Any

import attrs
import cattrs
from cattrs.gen import make_dict_structure_fn, override

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.json_bodies import BadBody, read_object, require_lists
from marblefold.node_config.reading import Address

__all__ = ["Export", "Exports", "Grant", "is_credential", "read_exports", "read_grant"]

_ROUTE_KINDS = (wire_names.READ_ONLY, wire_names.MUTATING, wire_names.UPLOAD)
_MAX_TIMEOUT = timedelta(minutes=10)
_MAX_LAPSE_TIME = timedelta(days=1)


@attrs.frozen(slots=True)
class Grant:
    """An operator's grant: the hosts that a partner may export, its address and credential.

    read_grant replaces the credential by its digest.
    """

    number: int
    hosts: tuple[str, ...]
    address: str
    credential: str
    lapse_after_s: float = 60.0


@attrs.frozen(slots=True)
class Export:
    """One route of a partner that is reachable from outside."""

    host: str
    prefix: str
    kind: str
    timeout_ms: float = 10000.0
    latency_ms: float = 1000.0


@attrs.frozen(slots=True)
class Exports:
    """All routes that a partner exports; everything else is private."""

    number: int
    exports: tuple[Export, ...]


def _make_strict_hook(expected: type | tuple[type, ...]):
    def structure(value: Any, _type: object) -> Any:
        # Rejects strings that look like numbers, and booleans.
        is_of_type = isinstance(value, expected) and not isinstance(value, bool)
        if not is_of_type:
            raise ValueError(f"not of the right kind: {value!r}")
        if not isinstance(value, str) and not 0 <= value < 1e15:
            raise ValueError(f"out of range: {value!r}")
        return value

    return structure


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=True)
    converter.register_structure_hook(str, _make_strict_hook(str))
    converter.register_structure_hook(int, _make_strict_hook(int))
    converter.register_structure_hook(float, _make_strict_hook((int, float)))
    require_lists(converter)
    for body_type in (Export, Exports, Grant):
        # Any, because the function's other keyword arguments have different types.
        names: dict[str, Any] = {
            field.name: override(rename=field.name.replace("_", "-"))
            for field in body_type.__attrs_attrs__
        }
        converter.register_structure_hook(
            body_type,
            make_dict_structure_fn(body_type, converter, _cattrs_forbid_extra_keys=True, **names),
        )
    return converter


_converter = _make_converter()


def read_grant(body: bytes) -> Grant:
    """Parses and validates a grant.

    Raises an ExceptionGroup with one MeshError for each error.
    """
    grant = _read(body, Grant)
    errors = []
    if not grant.hosts or any(not host for host in grant.hosts):
        errors.append("hosts: none, or an empty one")
    if len(grant.credential) < 16:
        errors.append("credential: shorter than 16 signs")
    if not 1 <= grant.lapse_after_s <= _MAX_LAPSE_TIME.total_seconds():
        errors.append("lapse-after-s: not from a second to a day")
    try:
        Address.parse(grant.address)
    except ValueError as error:
        errors.append(f"address: {error}")
    _raise_errors(errors)
    return attrs.evolve(
        grant,
        hosts=tuple(sorted({host.lower() for host in grant.hosts})),
        credential=_digest(grant.credential),
    )


def read_exports(body: bytes) -> Exports:
    """Parses and validates exports.

    Raises an ExceptionGroup with one MeshError for each error.
    """
    sent = _read(body, Exports)
    errors, seen_routes = [], set()
    for index, export in enumerate(sent.exports):
        path = f"exports[{index}]"
        if not export.prefix.startswith("/") or not export.prefix.endswith("/"):
            errors.append(f"{path}.prefix: does not begin and end with a slash")
        if export.kind not in _ROUTE_KINDS:
            errors.append(f"{path}.kind: none of {', '.join(_ROUTE_KINDS)}")
        if not 0 < export.timeout_ms <= _MAX_TIMEOUT / timedelta(milliseconds=1):
            errors.append(f"{path}.timeout-ms: not within ten minutes")
        key = (export.host.lower(), export.prefix)
        if key in seen_routes:
            errors.append(f"{path}: the same host and prefix stand twice")
        seen_routes.add(key)
    _raise_errors(errors)
    return attrs.evolve(
        sent,
        exports=tuple(attrs.evolve(export, host=export.host.lower()) for export in sent.exports),
    )


def is_credential(sent: str, held_digest: str) -> bool:
    """Whether the credential matches the granted one; compares in constant time."""
    import hmac

    return hmac.compare_digest(_digest(sent), held_digest)


def _digest(credential: str) -> str:
    # Imported lazily: only registries with partners need this library.
    import hashlib

    return hashlib.sha256(credential.encode("utf-8", "replace")).hexdigest()


def _read(body: bytes, body_type: type):
    try:
        document = read_object(body)
    except BadBody as error:
        raise ExceptionGroup("body", [MeshError("read body", str(error))]) from error
    try:
        return _converter.structure(document, body_type)
    except cattrs.BaseValidationError as error:
        lines = []
        for line in cattrs.transform_error(error):
            message, _separator, path = line.partition(" @ ")
            # The message may contain the value, and a credential must not be shown.
            shown = "bad value" if "credential" in path else message
            lines.append(f"{path.removeprefix('$.').replace('_', '-')}: {shown}")
        raise ExceptionGroup("body", [MeshError("read body", line) for line in lines]) from None


def _raise_errors(errors: list[str]) -> None:
    if errors:
        raise ExceptionGroup("body", [MeshError("check body", line) for line in errors])
