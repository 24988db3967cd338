"""The command `plan`: shows the effects of a change before it is made."""

import asyncio
import json
import sys

from absl import flags

from marblefold import wire_names
from marblefold.configuration.reading import InvalidConfiguration
from marblefold.errors import MeshError
from marblefold.planner.comparison import compare
from marblefold.planner.mesh_state import (
    MeshState,
    read_configuration_rows,
    read_floors,
    read_state,
)
from marblefold.planner.proposal import Proposal, propose
from marblefold.planner.reporting import to_json, to_text
from marblefold.registry_client import RegistryCall, call_registry

__all__ = ["run_planner"]

FLAGS = flags.FLAGS
flags.DEFINE_string("from_system", "", "Registry to read the current state from, HOST:PORT.")
flags.DEFINE_string(
    "current", "", "File with the current configuration, if not read from a system."
)
flags.DEFINE_string("state", "", "File with targets, evacuated zones and members.")
flags.DEFINE_string("proposed", "", "File with the proposed configuration.")
flags.DEFINE_multi_string("drain", [], "Id of a target that would be drained.")
flags.DEFINE_multi_string("evacuate", [], "Zone that would be evacuated.")
flags.DEFINE_multi_string("swap", [], "Store that would be replaced, OLD=NEW.")
flags.DEFINE_string("floors", "", "File with the slots that must remain, by upstream.")
flags.DEFINE_string("traffic", "", "File with requests a second, by route.")
flags.DEFINE_bool("json", False, "Print JSON instead of text.")

_EXIT_HARMLESS, _EXIT_HARMFUL, _EXIT_USAGE = 0, 1, 2


def run_planner() -> int:
    """Plans the change that the flags describe; returns the exit status.

    0: harmless, 1: harmful or invalid, 2: wrong usage, unreadable input or no answer.
    """
    if bool(FLAGS.from_system) == bool(FLAGS.current):
        return _print_errors(["give either --from_system or --current"], _EXIT_USAGE)
    try:
        before = _load_current_state()
        rows = read_configuration_rows(_read_file(FLAGS.proposed)) if FLAGS.proposed else None
        after = propose(
            before, Proposal(rows, tuple(FLAGS.drain), tuple(FLAGS.evacuate), tuple(FLAGS.swap))
        )
        floors = read_floors(_read_file(FLAGS.floors)) if FLAGS.floors else {}
        traffic = _read_traffic() if FLAGS.traffic else {}
    except InvalidConfiguration as invalid:
        return _print_errors(invalid.problems, _EXIT_HARMFUL)
    except ExceptionGroup as group:
        return _print_errors([str(error) for error in group.exceptions], _EXIT_HARMFUL)
    except MeshError as error:
        return _print_errors([str(error)], _EXIT_USAGE)
    differences = compare(before, after, floors, traffic)
    print(to_json(differences) if FLAGS.json else to_text(differences), end="")
    return _EXIT_HARMFUL if differences.faults else _EXIT_HARMLESS


def _load_current_state() -> MeshState:
    if FLAGS.from_system:
        configuration, state = asyncio.run(_fetch_from_registry(FLAGS.from_system))
    else:
        configuration = _read_file(FLAGS.current)
        state = _read_file(FLAGS.state) if FLAGS.state else b"{}"
    return MeshState(read_configuration_rows(configuration), *read_state(state))


async def _fetch_from_registry(address: str) -> tuple[bytes, bytes]:
    """Returns the bodies of the configuration and of the state document."""
    bodies = []
    for path in (wire_names.CONFIGURATION_PATH, wire_names.STATE_PATH):
        status, body = await call_registry(address, RegistryCall("GET", path))
        if status != 200:
            raise MeshError("ask registry", f"{path}: status {status}", address)
        bodies.append(body)
    return bodies[0], bodies[1]


def _read_file(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise MeshError("read file", f"{path}: {error.strerror}") from error


def _read_traffic() -> dict[str, float]:
    try:
        document = json.loads(_read_file(FLAGS.traffic))
        return {str(name): float(rate) for name, rate in document.items()}
    except (ValueError, TypeError, AttributeError) as error:
        raise MeshError("traffic", str(error)) from error


def _print_errors(errors: list[str], status: int) -> int:
    for error in errors:
        print(error, file=sys.stderr)
    return status
