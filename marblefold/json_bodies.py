"""Parses the bodies of control calls as strict JSON objects.

`json.loads` accepts more than JSON: other encodings, NaN, unpaired surrogates and
any nesting depth.  A body accepted here is parsed again by every registry and
encoded for every proxy, so an invalid one is rejected while its sender still waits
for the response.
"""

import json
from typing import Any, get_origin

__all__ = ["BadBody", "read_object", "require_lists"]

_MAX_NESTING_LEVELS = 32


class BadBody(ValueError):
    """The body is not an acceptable JSON object; the message gives the reason."""


def read_object(body: bytes) -> dict:
    """Returns the object in the body; raises BadBody with a reason that names the body."""
    try:
        text = body.decode("utf-8")
        document = json.loads(text, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise BadBody(f"body: {error}") from error
    if not isinstance(document, dict):
        raise BadBody("body: not an object")
    _check_depth(document)
    # Valid UTF-8 contains no surrogates, so only an escape sequence can introduce one.
    if "\\ud" in text.lower():
        _check_surrogates(document)
    return document


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is no JSON")


def _check_depth(document: dict) -> None:
    level: list[dict | list] = [document]
    for _ in range(_MAX_NESTING_LEVELS):
        level = [
            item
            for container in level
            for item in (container.values() if isinstance(container, dict) else container)
            if isinstance(item, (dict, list))
        ]
        if not level:
            return
    raise BadBody(f"body: nested over {_MAX_NESTING_LEVELS} levels deep")


def _check_surrogates(document: dict) -> None:
    try:
        json.dumps(document, ensure_ascii=False).encode("utf-8")
    except UnicodeEncodeError as error:
        raise BadBody("body: half of a surrogate pair in a text") from error


def require_lists(converter) -> None:
    """Makes a cattrs converter accept only lists for tuples.

    By default it accepts any iterable: a string as its characters, an empty object
    as an empty list.
    """
    from cattrs.cols import homogenous_tuple_structure_factory

    def make_hook(tuple_type):
        structure = homogenous_tuple_structure_factory(tuple_type, converter)

        def structure_list(value, target_type):
            if not isinstance(value, list):
                raise ValueError(f"not a list: {value!r:.80}")
            return structure(value, target_type)

        return structure_list

    def is_tuple(candidate: Any) -> bool:
        return get_origin(candidate) is tuple

    converter.register_structure_hook_factory(is_tuple, make_hook)
