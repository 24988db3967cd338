"""Reads the bodies of control calls: JSON objects that nothing later trips over.

`json.loads` takes more than JSON: other encodings, NaN, halves of surrogate
pairs and any depth.  What is accepted here is read again by every registry and
laid out for every proxy, so it is refused while its sender still waits for the answer.
"""

import json
from typing import Any, get_origin

__all__ = ["BadBody", "read_object", "require_lists"]

_MOST_LEVELS = 32


class BadBody(ValueError):
    """The body is no JSON object of ours; the text says why."""


def read_object(body: bytes) -> dict:
    """The object in the body, or BadBody with a reason that names the body."""
    try:
        text = body.decode("utf-8")
        document = json.loads(text, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise BadBody(f"body: {error}") from error
    if not isinstance(document, dict):
        raise BadBody("body: not an object")
    _check_depth(document)
    # UTF-8 holds no surrogates: only an escape can have brought one in.
    if "\\ud" in text.lower():
        _check_surrogates(document)
    return document


def _refuse_constant(name: str) -> float:
    raise ValueError(f"{name} is no JSON")


def _check_depth(document: dict) -> None:
    level: list[dict | list] = [document]
    for _ in range(_MOST_LEVELS):
        level = [
            item
            for container in level
            for item in (container.values() if isinstance(container, dict) else container)
            if isinstance(item, (dict, list))
        ]
        if not level:
            return
    raise BadBody(f"body: nested over {_MOST_LEVELS} levels deep")


def _check_surrogates(document: dict) -> None:
    try:
        json.dumps(document, ensure_ascii=False).encode("utf-8")
    except UnicodeEncodeError as error:
        raise BadBody("body: half of a surrogate pair in a text") from error


def require_lists(converter) -> None:
    """Makes a cattrs converter take only lists for tuples.

    Of itself it takes whatever can be gone through: a text for its letters, an
    empty object for an empty list.
    """
    from cattrs.cols import homogenous_tuple_structure_factory

    def make_hook(kind):
        structure = homogenous_tuple_structure_factory(kind, converter)

        def structure_list(value, of):
            if not isinstance(value, list):
                raise ValueError(f"not a list: {value!r:.80}")
            return structure(value, of)

        return structure_list

    def is_tuple(kind: Any) -> bool:
        return get_origin(kind) is tuple

    converter.register_structure_hook_factory(is_tuple, make_hook)
