"""Reads and checks the grants of operators and the exports of partners."""

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

_KINDS = (wire_names.READ_ONLY, wire_names.MUTATING, wire_names.UPLOAD)
_LONGEST_TIME = timedelta(minutes=10)
_LONGEST_LAPSE = timedelta(days=1)


@attrs.frozen(slots=True)
class Grant:
    """An operator's grant: hosts a partner may export, its address and credential.

    The credential is a digest once read_grant has checked it.
    """

    number: int
    hosts: tuple[str, ...]
    address: str
    credential: str
    lapse_after_s: float = 60.0


@attrs.frozen(slots=True)
class Export:
    """One route of a partner that may be reached from outside."""

    host: str
    prefix: str
    kind: str
    timeout_ms: float = 10000.0
    latency_ms: float = 1000.0


@attrs.frozen(slots=True)
class Exports:
    """All that a partner exports; whatever is not listed is private."""

    number: int
    exports: tuple[Export, ...]


def _strict(kind: type | tuple[type, ...]):
    def structure(value: Any, _kind: object) -> Any:
        # Texts that look like numbers, and booleans, are refused.
        is_of_kind = isinstance(value, kind) and not isinstance(value, bool)
        if not is_of_kind:
            raise ValueError(f"not of the right kind: {value!r}")
        if not isinstance(value, str) and not 0 <= value < 1e15:
            raise ValueError(f"out of range: {value!r}")
        return value

    return structure


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=True)
    converter.register_structure_hook(str, _strict(str))
    converter.register_structure_hook(int, _strict(int))
    converter.register_structure_hook(float, _strict((int, float)))
    require_lists(converter)
    for kind in (Export, Exports, Grant):
        # Any: the function's other keyword arguments have types of their own.
        names: dict[str, Any] = {
            field.name: override(rename=field.name.replace("_", "-"))
            for field in kind.__attrs_attrs__
        }
        converter.register_structure_hook(
            kind, make_dict_structure_fn(kind, converter, _cattrs_forbid_extra_keys=True, **names)
        )
    return converter


_converter = _make_converter()


def read_grant(body: bytes) -> Grant:
    """The checked grant in a body. Raises an ExceptionGroup of MeshError, one a fault."""
    grant = _read(body, Grant)
    faults = []
    if not grant.hosts or any(not host for host in grant.hosts):
        faults.append("hosts: none, or an empty one")
    if len(grant.credential) < 16:
        faults.append("credential: shorter than 16 signs")
    if not 1 <= grant.lapse_after_s <= _LONGEST_LAPSE.total_seconds():
        faults.append("lapse-after-s: not from a second to a day")
    try:
        Address.parse(grant.address)
    except ValueError as error:
        faults.append(f"address: {error}")
    _raise(faults)
    return attrs.evolve(
        grant,
        hosts=tuple(sorted({host.lower() for host in grant.hosts})),
        credential=_digest(grant.credential),
    )


def read_exports(body: bytes) -> Exports:
    """The checked exports in a body. Raises an ExceptionGroup of MeshError, one a fault."""
    sent = _read(body, Exports)
    faults, places = [], set()
    for index, export in enumerate(sent.exports):
        place = f"exports[{index}]"
        if not export.prefix.startswith("/") or not export.prefix.endswith("/"):
            faults.append(f"{place}.prefix: does not begin and end with a slash")
        if export.kind not in _KINDS:
            faults.append(f"{place}.kind: none of {', '.join(_KINDS)}")
        if not 0 < export.timeout_ms <= _LONGEST_TIME / timedelta(milliseconds=1):
            faults.append(f"{place}.timeout-ms: not within ten minutes")
        key = (export.host.lower(), export.prefix)
        if key in places:
            faults.append(f"{place}: the same host and prefix stand twice")
        places.add(key)
    _raise(faults)
    return attrs.evolve(
        sent,
        exports=tuple(attrs.evolve(export, host=export.host.lower()) for export in sent.exports),
    )


def is_credential(sent: str, held_digest: str) -> bool:
    """Whether the credential is the granted one; compares in constant time."""
    import hmac

    return hmac.compare_digest(_digest(sent), held_digest)


def _digest(credential: str) -> str:
    # Imported here: only a registry with partners pays for this library.
    import hashlib

    return hashlib.sha256(credential.encode("utf-8", "replace")).hexdigest()


def _read(body: bytes, kind: type):
    try:
        document = read_object(body)
    except BadBody as error:
        raise ExceptionGroup("word", [MeshError("read word", str(error))]) from error
    try:
        return _converter.structure(document, kind)
    except cattrs.BaseValidationError as error:
        lines = []
        for line in cattrs.transform_error(error):
            fault, _sign, place = line.partition(" @ ")
            # A message may contain the value, and a credential must not be shown.
            shown = "bad value" if "credential" in place else fault
            lines.append(f"{place.removeprefix('$.').replace('_', '-')}: {shown}")
        raise ExceptionGroup("word", [MeshError("read word", line) for line in lines]) from None


def _raise(faults: list[str]) -> None:
    if faults:
        raise ExceptionGroup("body", [MeshError("check body", line) for line in faults])
