"""Parses the operator's configuration and reports every problem in it."""

from datetime import timedelta
from typing import Any

import cattrs
from cattrs.gen import make_dict_structure_fn, override

from marblefold.configuration.checking import find_problems
from marblefold.configuration.model import Configuration, Limits, Route, Split, Upstream
from marblefold.errors import MeshError
from marblefold.json_bodies import BadBody, read_object, require_lists

__all__ = ["InvalidConfiguration", "read_configuration"]


# JSON numbers are exact up to here.
_MAX_NUMBER = 2**53


class InvalidConfiguration(ExceptionGroup[MeshError]):
    """All problems of one configuration, each a MeshError whose reason starts with the location."""

    @property
    def problems(self) -> list[str]:
        """The problems as lines for the operator."""
        return [error.reason for error in self.exceptions if isinstance(error, MeshError)]

    def derive(self, exceptions):
        return InvalidConfiguration(self.message, exceptions)


def _structure_number(value, _target_type) -> float:
    # A string that looks like a number is a mistake, so it is not converted.
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"not a number: {value!r}")
    if value != value or abs(value) > _MAX_NUMBER:
        raise ValueError(f"out of range: {value!r}")
    return float(value)


def _structure_integer(value, target_type) -> int:
    number = _structure_number(value, target_type)
    if number != int(number):
        raise ValueError(f"not a whole number: {value!r}")
    return int(number)


def _structure_string(value, _target_type) -> str:
    if not isinstance(value, str):
        raise ValueError(f"not a text: {value!r}")
    return value


def _structure_milliseconds(value, target_type) -> timedelta:
    return timedelta(milliseconds=_structure_number(value, target_type))


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=True)
    converter.register_structure_hook(float, _structure_number)
    converter.register_structure_hook(int, _structure_integer)
    converter.register_structure_hook(str, _structure_string)
    converter.register_structure_hook(timedelta, _structure_milliseconds)
    require_lists(converter)
    for model_class in (Split, Upstream, Limits, Route, Configuration):
        names: dict[str, Any] = {}
        for field in model_class.__attrs_attrs__:
            names[field.name] = override(rename=field.name.replace("_", "-"))
        # The only duration in seconds; all others are in milliseconds.
        if model_class is Upstream:
            names["cold_start_s"] = override(
                rename="cold-start-s",
                struct_hook=lambda value, target_type: timedelta(
                    seconds=_structure_number(value, target_type)
                ),
            )
        converter.register_structure_hook(
            model_class, make_dict_structure_fn(model_class, converter, **names)
        )
    return converter


_converter = _make_converter()


def _format_problem(line: str) -> str:
    """Turns cattrs' "problem @ location" into a line in the operator's spelling."""
    problem, _separator, location = line.partition(" @ ")
    return f"{location.removeprefix('$.').replace('_', '-')}: {problem}"


def read_configuration(body: bytes) -> Configuration:
    """Returns the configuration in the body; raises InvalidConfiguration with all problems."""
    try:
        document = read_object(body)
    except BadBody as error:
        raise InvalidConfiguration(
            "configuration", [MeshError("read configuration", str(error))]
        ) from error
    try:
        configuration = _converter.structure(document, Configuration)
    except cattrs.BaseValidationError as error:
        problems = [
            MeshError("read configuration", _format_problem(line))
            for line in cattrs.transform_error(error)
        ]
        raise InvalidConfiguration("configuration", problems) from error
    problems = [MeshError("check configuration", line) for line in find_problems(configuration)]
    if problems:
        raise InvalidConfiguration("configuration", problems)
    return configuration
