"""Reads a configuration from the operator's bytes and finds all that is wrong with it."""

from datetime import timedelta
from typing import Any

import cattrs
from cattrs.gen import make_dict_structure_fn, override

from marblefold.configuration.checking import find_problems
from marblefold.configuration.model import Configuration, Limits, Route, Split, Upstream
from marblefold.errors import MeshError
from marblefold.json_bodies import BadBody, read_object, require_lists

__all__ = ["InvalidConfiguration", "read_configuration"]


class InvalidConfiguration(ExceptionGroup[MeshError]):
    """All the faults of one configuration, each a MeshError with its place."""

    @property
    def problems(self) -> list[str]:
        """The faults as lines for the operator."""
        return [fault.reason for fault in self.exceptions if isinstance(fault, MeshError)]

    def derive(self, exceptions):
        return InvalidConfiguration(self.message, exceptions)


def _strict_number(value, _kind) -> float:
    # A text that looks like a number is a mistake, never a number.
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"not a number: {value!r}")
    if value != value or abs(value) > 1e15:
        raise ValueError(f"out of range: {value!r}")
    return float(value)


def _strict_whole(value, kind) -> int:
    number = _strict_number(value, kind)
    if number != int(number):
        raise ValueError(f"not a whole number: {value!r}")
    return int(number)


def _strict_text(value, _kind) -> str:
    if not isinstance(value, str):
        raise ValueError(f"not a text: {value!r}")
    return value


def _milliseconds(value, kind) -> timedelta:
    return timedelta(milliseconds=_strict_number(value, kind))


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=True)
    converter.register_structure_hook(float, _strict_number)
    converter.register_structure_hook(int, _strict_whole)
    converter.register_structure_hook(str, _strict_text)
    converter.register_structure_hook(timedelta, _milliseconds)
    require_lists(converter)
    for kind in (Split, Upstream, Limits, Route, Configuration):
        names: dict[str, Any] = {}
        for field in kind.__attrs_attrs__:
            names[field.name] = override(rename=field.name.replace("_", "-"))
        # The one duration that the operator gives in seconds.
        if kind is Upstream:
            names["cold_start_s"] = override(
                rename="cold-start-s",
                struct_hook=lambda value, of: timedelta(seconds=_strict_number(value, of)),
            )
        converter.register_structure_hook(kind, make_dict_structure_fn(kind, converter, **names))
    return converter


_converter = _make_converter()


def _place_first(line: str) -> str:
    """The place as the operator writes it, then what is wrong there."""
    fault, _sign, place = line.partition(" @ ")
    return f"{place.removeprefix('$.').replace('_', '-')}: {fault}"


def read_configuration(body: bytes) -> Configuration:
    """The configuration in the body, or InvalidConfiguration with every fault found."""
    try:
        document = read_object(body)
    except BadBody as error:
        raise InvalidConfiguration(
            "configuration", [MeshError("read configuration", str(error))]
        ) from error
    try:
        configuration = _converter.structure(document, Configuration)
    except cattrs.BaseValidationError as error:
        faults = [
            MeshError("read configuration", _place_first(line))
            for line in cattrs.transform_error(error)
        ]
        raise InvalidConfiguration("configuration", faults) from error
    faults = [MeshError("check configuration", line) for line in find_problems(configuration)]
    if faults:
        raise InvalidConfiguration("configuration", faults)
    return configuration
