"""The command `rehearse`: forecasts the effects of losing a region or zones."""

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
flags.DEFINE_string("save", "", "File to save the snapshot in.")
flags.DEFINE_multi_string("lose_region", [], "Region that would be lost.")
flags.DEFINE_multi_string("lose_zone", [], "Zone that would be lost.")
flags.DEFINE_enum(
    "clients",
    "move",
    ["move", "gone"],
    "What happens to the clients of the lost "
    "zones: the platform moves them elsewhere, or they are lost as well.",
)
flags.DEFINE_integer("seed", 1, "Another seed simulates other traffic of the same rates.")
flags.DEFINE_bool("as_json", False, "Print JSON instead of text.")

_EXIT_HARMLESS, _EXIT_HARMFUL, _EXIT_USAGE = 0, 1, 2


def run_rehearsal(arguments: list[str]) -> int:
    """Rehearses the loss that the flags name; returns the exit status.

    0: all requests are carried, 1: some are not, 2: wrong usage, bad snapshot or no answer.
    """
    names_loss = bool(FLAGS.lose_region or FLAGS.lose_zone)
    if arguments or bool(FLAGS.registry) == bool(FLAGS.snapshot) or not (names_loss or FLAGS.save):
        return _print_errors(
            [
                (
                    "usage: python3 -m marblefold rehearse "
                    "(--registry=HOST:PORT | --snapshot=FILE) "
                    "--lose_region=REGION|--lose_zone=ZONE ... [--save=FILE] [--as_json]"
                )
            ]
        )
    try:
        body = _load_snapshot()
        snapshot = read_snapshot(body)
        if FLAGS.save:
            _write_file(FLAGS.save, body)
        if not names_loss:
            return _EXIT_HARMLESS
        lost = find_lost_zones(snapshot, FLAGS.lose_region, FLAGS.lose_zone)
        forecast = rehearse(
            snapshot, lost, SimulationConfig(seed=FLAGS.seed, clients_move=FLAGS.clients == "move")
        )
    except MeshError as error:
        return _print_errors([str(error)])
    except ExceptionGroup as group:
        return _print_errors([str(error) for error in group.exceptions])
    now = datetime.now(UTC)
    if is_stale(snapshot, now):
        print(f"the snapshot is {snapshot.age(now)} old", file=sys.stderr)
    text = (
        json.dumps(to_json_object(forecast), indent=2) + "\n"
        if FLAGS.as_json
        else to_text(forecast)
    )
    print(text, end="")
    return _EXIT_HARMLESS if forecast.is_harmless else _EXIT_HARMFUL


def _load_snapshot() -> bytes:
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


def _write_file(path: str, body: bytes) -> None:
    try:
        with open(path, "wb") as file:
            file.write(body)
    except OSError as error:
        raise MeshError("write file", f"{path}: {error.strerror}") from error


def _print_errors(errors: list[str]) -> int:
    for error in errors:
        print(error, file=sys.stderr)
    return _EXIT_USAGE
