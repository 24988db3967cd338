"""The tools `partners` and `owners`, which call a registry of a running system."""

import asyncio
import json
import os
import sys
from urllib.parse import quote

from absl import flags

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.registry_client import RegistryCall, call_for_document

__all__ = ["run_owners", "run_partners"]

FLAGS = flags.FLAGS
flags.DEFINE_string("registry", "", "Registry to call, HOST:PORT.")
flags.DEFINE_string("file", "", "File with the body of the call, as JSON.")

_SUCCESS, _REJECTED, _USAGE_ERROR = 0, 1, 2
# A registry answers a withdrawal only after it is enforced everywhere.
_CALL_TIMEOUT_SECONDS = 10.0
_CREDENTIAL_VARIABLE = "MARBLEFOLD_PARTNER_CREDENTIAL"


def run_partners(arguments: list[str]) -> int:
    """Runs partners list | grant NAME | withdraw NAME | export NAME; returns the exit status.

    0: success, 1: rejected by the registry, 2: invalid usage or no answer.
    """
    return _run(
        arguments,
        "partners list | grant NAME | withdraw NAME | export NAME",
        {
            ("list",): ("GET", wire_names.PARTNERS_PATH, False),
            ("grant", "NAME"): ("PUT", wire_names.PARTNER_PATH, True),
            ("withdraw", "NAME"): ("DELETE", wire_names.PARTNER_PATH, False),
            ("export", "NAME"): ("PUT", wire_names.EXPORTS_PATH, True),
        },
    )


def run_owners(arguments: list[str]) -> int:
    """Runs owners list | set; returns the exit status, as run_partners."""
    return _run(
        arguments,
        "owners list | set",
        {
            ("list",): ("GET", wire_names.OWNERS_PATH, False),
            ("set",): ("PUT", wire_names.OWNERS_PATH, True),
        },
    )


def _run(arguments: list[str], usage: str, calls: dict) -> int:
    key = tuple(arguments[:1]) + tuple("NAME" for _ in arguments[1:])
    call = calls.get(key)
    if call is None or not FLAGS.registry or (call[2] and not FLAGS.file):
        print(
            f"usage: python3 -m marblefold {usage} --registry=HOST:PORT [--file=FILE]",
            file=sys.stderr,
        )
        return _USAGE_ERROR
    method, path, has_body = call
    body = None
    if has_body:
        try:
            with open(FLAGS.file, "rb") as file:
                body = file.read()
        except OSError as error:
            print(f"{FLAGS.file}: {error.strerror}", file=sys.stderr)
            return _USAGE_ERROR
    subject = quote(arguments[1], safe="") if len(arguments) > 1 else ""
    return asyncio.run(_call(method, path.format(subject), body))


async def _call(method: str, path: str, body: bytes | None) -> int:
    headers = {}
    # Not a flag: every user of the machine can read command lines.
    if os.environ.get(_CREDENTIAL_VARIABLE):
        headers["Authorization"] = f"Bearer {os.environ[_CREDENTIAL_VARIABLE]}"
    try:
        status, document = await call_for_document(
            FLAGS.registry, RegistryCall(method, path, body, headers, _CALL_TIMEOUT_SECONDS)
        )
    except MeshError as error:
        print(f"{FLAGS.registry}: {error.reason}", file=sys.stderr)
        return _USAGE_ERROR
    is_success = status == 200
    print(json.dumps(document, indent=2), file=sys.stdout if is_success else sys.stderr)
    return _SUCCESS if is_success else _REJECTED
