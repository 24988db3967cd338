"""The tool `rehearse`: the effects of losing a region or zones."""

import asyncio
import json
import sys
from datetime import UTC, datetime

from absl import flags

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.registry_client import ask_one
from marblefold.rehearsal.forecast import find_lost_zones, rehearse
from marblefold.rehearsal.reporting import to_json_object, to_text
from marblefold.rehearsal.simulation_config import SimulationConfig
from marblefold.rehearsal.snapshot import is_stale, read_snapshot

__all__ = ["run_rehearsal"]

FLAGS = flags.FLAGS
if "registry" not in FLAGS:
    flags.DEFINE_string("registry", "", "Registry to take the snapshot from, HOST:PORT.")
flags.DEFINE_string("snapshot", "", "File with a snapshot, instead of a registry.")
flags.DEFINE_string("save", "", "File to keep the snapshot in.")
flags.DEFINE_multi_string("lose_region", [], "Region that would be lost.")
flags.DEFINE_multi_string("lose_zone", [], "Zone that would be lost.")
flags.DEFINE_enum(
    "clients",
    "move",
    ["move", "gone"],
    "What becomes of clients of the lost "
    "place: the platform moves them elsewhere, or they are lost with it.",
)
flags.DEFINE_integer("seed", 1, "Another seed simulates other traffic of the same rates.")
flags.DEFINE_bool("as_json", False, "Print JSON instead of text.")

_CARRIED, _HARMED, _USAGE = 0, 1, 2


def run_rehearsal(arguments: list[str]) -> int:
    """Rehearses as the flags say; the exit status.

    0 all is carried, 1 something is not, 2 wrong usage, bad snapshot or no answer.
    """
    loses = bool(FLAGS.lose_region or FLAGS.lose_zone)
    if arguments or bool(FLAGS.registry) == bool(FLAGS.snapshot) or not (loses or FLAGS.save):
        return _complain(
            [
                (
                    "usage: python3 -m marblefold rehearse "
                    "(--registry=HOST:PORT | --snapshot=FILE) "
                    "--lose_region=REGION|--lose_zone=ZONE ... [--save=FILE] [--as_json]"
                )
            ]
        )
    try:
        body = _gather()
        snapshot = read_snapshot(body)
        if FLAGS.save:
            _write(FLAGS.save, body)
        if not loses:
            return _CARRIED
        lost = find_lost_zones(snapshot, FLAGS.lose_region, FLAGS.lose_zone)
        forecast = rehearse(
            snapshot, lost, SimulationConfig(seed=FLAGS.seed, clients_move=FLAGS.clients == "move")
        )
    except MeshError as error:
        return _complain([str(error)])
    except ExceptionGroup as group:
        return _complain([str(fault) for fault in group.exceptions])
    now = datetime.now(UTC)
    if is_stale(snapshot, now):
        print(f"the snapshot is {snapshot.age(now)} old", file=sys.stderr)
    text = (
        json.dumps(to_json_object(forecast), indent=2) + "\n"
        if FLAGS.as_json
        else to_text(forecast)
    )
    print(text, end="")
    return _CARRIED if forecast.is_harmless else _HARMED


def _gather() -> bytes:
    if FLAGS.snapshot:
        try:
            with open(FLAGS.snapshot, "rb") as file:
                return file.read()
        except OSError as error:
            raise MeshError("read file", f"{FLAGS.snapshot}: {error.strerror}") from error
    status, document = asyncio.run(ask_one(FLAGS.registry, wire_names.SNAPSHOT_PATH))
    if status != 200:
        raise MeshError(
            "snapshot", f"status {status}: {document.get(wire_names.REASON, '')}", FLAGS.registry
        )
    return json.dumps(document, indent=1).encode()


def _write(path: str, body: bytes) -> None:
    try:
        with open(path, "wb") as file:
            file.write(body)
    except OSError as error:
        raise MeshError("write file", f"{path}: {error.strerror}") from error


def _complain(faults: list[str]) -> int:
    for fault in faults:
        print(fault, file=sys.stderr)
    return _USAGE
