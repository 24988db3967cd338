"""The command line tool `windows`: lists and changes the maintenance windows of a system."""

import asyncio
import json
import sys
from urllib.parse import quote

from absl import flags

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.registry_client import RegistryCall, call_for_document

__all__ = ["run_windows"]

FLAGS = flags.FLAGS
flags.DEFINE_string("system", "", "Registry to call, HOST:PORT.")
flags.DEFINE_string("zone", "", "Zone that the window empties.")
flags.DEFINE_string("start", "", "Wanted start, as 2026-03-01T22:00:00+00:00.")
flags.DEFINE_float("length_s", 0.0, "Length of the window in seconds.")
flags.DEFINE_string("latest_end", "", "Latest end, in the form of the start.")
flags.DEFINE_multi_string("floor", [], "Slots that must remain, UPSTREAM=SLOTS.")

_EXIT_OK, _EXIT_REFUSED, _EXIT_USAGE = 0, 1, 2
_USAGE_FORMS = "list | set NAME | withdraw NAME | floors"


def run_windows(arguments: list[str]) -> int:
    """Runs list, set NAME, withdraw NAME or floors, and returns the exit status.

    0: done; 1: refused by the registry; 2: wrong usage or no answer.
    """
    call = _parse_arguments(arguments)
    if call is None or not FLAGS.system:
        print(
            f"usage: python3 -m marblefold windows --system=HOST:PORT {_USAGE_FORMS}",
            file=sys.stderr,
        )
        return _EXIT_USAGE
    return asyncio.run(_send_call(*call))


def _parse_arguments(arguments: list[str]) -> tuple[str, str, dict | None] | None:
    """Returns the method, path and document of the call, or None if the arguments are wrong."""
    if arguments == ["list"]:
        return "GET", wire_names.MAINTENANCE_PATH, None
    if arguments == ["floors"]:
        floors = {}
        for floor in FLAGS.floor:
            upstream, separator, slots = floor.partition("=")
            if not separator or not slots.isdigit():
                return None
            floors[upstream] = int(slots)
        return "PUT", wire_names.FLOORS_PATH, floors
    if len(arguments) != 2:
        return None
    path = wire_names.WINDOW_PATH.format(quote(arguments[1], safe=""))
    if arguments[0] == "withdraw":
        return "DELETE", path, None
    if arguments[0] == "set":
        return (
            "PUT",
            path,
            {
                "zone": FLAGS.zone,
                "wanted-start": FLAGS.start,
                "length-s": FLAGS.length_s,
                "latest-end": FLAGS.latest_end,
            },
        )
    return None


async def _send_call(method: str, path: str, document: dict | None) -> int:
    request_body = None if document is None else json.dumps(document).encode()
    try:
        status, body = await call_for_document(
            FLAGS.system, RegistryCall(method, path, request_body)
        )
    except MeshError as error:
        print(f"{FLAGS.system}: {error.reason}", file=sys.stderr)
        return _EXIT_USAGE
    if status != 200:
        print(json.dumps(body, indent=2), file=sys.stderr)
        return _EXIT_REFUSED
    if method == "GET":
        _print_document(body)
    return _EXIT_OK


def _print_document(body: dict) -> None:
    for upstream, slots in sorted(body["floors"].items()):
        print(f"floor {upstream}: {slots} slots")
    for window in body["windows"]:
        reason = f" ({window['reason']})" if window["reason"] else ""
        print(
            f"window {window['name']}: {window['state']} in {window['zone']} "
            f"from {window['expected-start']} for {window['length-s']:g} s{reason}"
        )
