"""The `trace` command: shows the traces of a running system."""

import asyncio
import json
import sys
from urllib.parse import quote, urlencode

from absl import flags

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.registry_client import ask_all
from marblefold.tracing.assembly import Trace, assemble
from marblefold.tracing.formats import to_json, to_otlp, to_text

__all__ = ["run_trace"]

FLAGS = flags.FLAGS
flags.DEFINE_string("registry", "", "Registry to ask, HOST:PORT.")
flags.DEFINE_enum("format", "text", ["text", "json", "otlp"], "How traces are printed.")
flags.DEFINE_string("kind", "", "Only traces kept as order, upload, sample or marked.")
flags.DEFINE_string("outcome", "", "Only requests with this outcome, such as unknown.")
flags.DEFINE_float("since_s", 0.0, "Only requests that began at most this many seconds ago.")
flags.DEFINE_integer("limit", 50, "Maximum number listed.", lower_bound=1, upper_bound=200)

_EXIT_COMPLETE, _EXIT_INCOMPLETE, _EXIT_USAGE = 0, 1, 2


def run_trace(arguments: list[str]) -> int:
    """Runs `trace show ATTEMPT_ID|TRACE_ID | doubles | list` and returns the exit status.

    0 all traces are complete, 1 incomplete or not found, 2 wrong usage, refused or no answer.
    """
    is_call = (
        arguments[:1] == ["show"] and len(arguments) == 2 or arguments in (["doubles"], ["list"])
    )
    if not is_call or not FLAGS.registry:
        print(
            "usage: python3 -m marblefold trace --registry=HOST:PORT "
            "show ATTEMPT_ID|TRACE_ID | doubles | list",
            file=sys.stderr,
        )
        return _EXIT_USAGE
    try:
        if arguments[0] == "show":
            return asyncio.run(_show(arguments[1]))
        return asyncio.run(_show_duplicates() if arguments[0] == "doubles" else _list())
    except MeshError as error:
        print(error, file=sys.stderr)
        return _EXIT_USAGE


async def _fetch(name: str) -> tuple[Trace | None, list[str]]:
    """Assembles a trace from all registries; also returns those that did not answer."""
    path = wire_names.TRACE_PATH.format(quote(name, safe=""))
    answers, unreachable = await ask_all(FLAGS.registry, path)
    _check_statuses(answers)
    found = [document for status, document in answers if status == 200]
    if not found:
        return None, unreachable
    trace_id = found[0]["trace"]
    # Not every registry knows the Attempt-Id, but any of them may hold spans of its trace.
    if name != trace_id:
        return await _fetch(trace_id)
    rows = [row for document in found for row in document["spans"]]
    return assemble(trace_id, rows, any(document["shed"] for document in found)), unreachable


async def _show(name: str) -> int:
    trace, unreachable = await _fetch(name)
    _warn_unreachable(unreachable)
    if trace is None:
        print(f"no trace of {name}", file=sys.stderr)
        return _EXIT_INCOMPLETE
    _print([trace])
    return _EXIT_COMPLETE if trace.is_complete else _EXIT_INCOMPLETE


async def _show_duplicates() -> int:
    answers, unreachable = await ask_all(FLAGS.registry, wire_names.DOUBLES_PATH)
    _check_statuses(answers)
    _warn_unreachable(unreachable)
    groups: dict[str, dict[str, str]] = {}
    for _status, document in answers:
        for group in document["doubles"]:
            groups.setdefault(group["digest"], {}).update(group["tries"])
    status = _EXIT_COMPLETE
    traces = []
    for digest, tries in sorted(groups.items()):
        if FLAGS.format == "text":
            print(f"order {digest} came as {', '.join(sorted(tries))}")
        for trace_id in sorted(set(tries.values())):
            trace, _unreachable = await _fetch(trace_id)
            if trace is None or not trace.is_complete:
                status = _EXIT_INCOMPLETE
            traces.extend([trace] if trace is not None else [])
    _print(traces)
    return status


async def _list() -> int:
    query = {"limit": FLAGS.limit}
    for name, value in (
        ("kind", FLAGS.kind),
        ("outcome", FLAGS.outcome),
        ("since-s", FLAGS.since_s),
    ):
        if value:
            query[name] = value
    answers, unreachable = await ask_all(
        FLAGS.registry, f"{wire_names.TRACES_PATH}?{urlencode(query)}"
    )
    _check_statuses(answers)
    _warn_unreachable(unreachable)
    rows = {row["span_id"]: row for _status, document in answers for row in document["traces"]}
    newest = sorted(rows.values(), key=lambda row: -row["start_us"])[: FLAGS.limit]
    if FLAGS.format != "text":
        print(json.dumps(newest, indent=2))
        return _EXIT_COMPLETE
    for row in newest:
        print(
            f"{row['trace_id']} {row['attempt_id']} {row['route']} status {row['status']} "
            f"{row['duration_us'] / 1000:.1f} ms {row['step']}"
        )
    return _EXIT_COMPLETE


def _print(traces: list[Trace]) -> None:
    if FLAGS.format == "otlp":
        print(to_otlp(traces))
    elif FLAGS.format == "json":
        print(json.dumps([to_json(trace) for trace in traces], indent=2))
    else:
        for trace in traces:
            print(to_text(trace), end="")


def _check_statuses(answers: list[tuple[int, dict]]) -> None:
    for status, document in answers:
        if status not in (200, 404):
            raise MeshError("ask registry", f"status {status}: {document.get('reason', '')}")


def _warn_unreachable(unreachable: list[str]) -> None:
    for registry in unreachable:
        print(f"{registry} did not answer; spans that only it holds are missing", file=sys.stderr)
