"""The `history` command: lists, shows and compares recorded configurations."""

import asyncio
import difflib
import json
import sys
from datetime import UTC, datetime

from absl import flags

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.registry_client import ask_one

__all__ = ["run_history"]

FLAGS = flags.FLAGS
if "registry" not in FLAGS:
    flags.DEFINE_string("registry", "", "Registry to ask, HOST:PORT.")

_EXIT_OK, _EXIT_DIFFERENT, _EXIT_USAGE = 0, 1, 2
_ARGUMENT_COUNTS = {"list": 1, "show": 2, "diff": 3}


def run_history(arguments: list[str]) -> int:
    """Runs `history list | show N | diff N M` and returns the exit status.

    0 success or no difference, 1 the versions differ, 2 wrong usage or an error.
    """
    if not arguments or _ARGUMENT_COUNTS.get(arguments[0]) != len(arguments) or not FLAGS.registry:
        print(
            "usage: python3 -m marblefold history --registry=HOST:PORT list | show N | diff N M",
            file=sys.stderr,
        )
        return _EXIT_USAGE
    try:
        return asyncio.run(_run(arguments))
    except MeshError as error:
        print(error, file=sys.stderr)
        return _EXIT_USAGE


async def _run(arguments: list[str]) -> int:
    if arguments[0] == "list":
        for row in (await _fetch(wire_names.HISTORY_PATH))["versions"]:
            at = datetime.fromtimestamp(row["at"], UTC).isoformat()
            print(f"{row[wire_names.CONFIG_VERSION]} {at} {row['commit']}")
        return _EXIT_OK
    texts = [
        json.dumps(await _fetch(wire_names.VERSION_PATH.format(number)), indent=2, sort_keys=True)
        for number in arguments[1:]
    ]
    if arguments[0] == "show":
        print(texts[0])
        return _EXIT_OK
    lines = list(
        difflib.unified_diff(
            texts[0].splitlines(), texts[1].splitlines(), arguments[1], arguments[2], lineterm=""
        )
    )
    print("\n".join(lines), end="\n" if lines else "")
    return _EXIT_DIFFERENT if lines else _EXIT_OK


async def _fetch(path: str) -> dict:
    status, document = await ask_one(FLAGS.registry, path)
    if status != 200:
        raise MeshError("history", f"status {status}: {document.get(wire_names.REASON, '')}")
    return document
