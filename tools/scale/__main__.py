"""python3 -m tools.scale: how the cost of control grows with the number of nodes.

Runs real programs and, in a few processes, many hollow nodes (hollow.py).
"""

import asyncio
import json
import subprocess
import sys
import tempfile
from datetime import UTC, datetime
from pathlib import Path

from absl import flags

from tools.scale.phases import Phases
from tools.scale.processes import Fleet
from tools.scale.settings import Layout

__all__ = ["main"]

FLAGS = flags.FLAGS
flags.DEFINE_integer("nodes", 50, "Nodes beside targets.", lower_bound=8, upper_bound=600)
flags.DEFINE_integer(
    "core", 5, "Machines reserved for the control plane.", lower_bound=1, upper_bound=9
)
flags.DEFINE_integer("real", 3, "Nodes that are real proxies.", lower_bound=0, upper_bound=20)
flags.DEFINE_integer("services", 22, "Services.", lower_bound=1, upper_bound=100)
flags.DEFINE_integer("routes", 300, "Routes of the configuration.", lower_bound=1, upper_bound=5000)
flags.DEFINE_integer("each", 60, "Hollow nodes in each process.", lower_bound=1, upper_bound=200)
flags.DEFINE_integer(
    "runs", 1, "How often the whole run is repeated.", lower_bound=1, upper_bound=10
)
flags.DEFINE_float(
    "seconds", 10.0, "Seconds for which the idle phase is measured.", lower_bound=1, upper_bound=120
)
flags.DEFINE_float(
    "settle",
    15.0,
    "Seconds for the updates of the start to propagate before the idle phase.",
    lower_bound=0,
    upper_bound=120,
)
flags.DEFINE_float(
    "longest", 60.0, "Time limit of a phase, in seconds.", lower_bound=5, upper_bound=300
)
flags.DEFINE_integer("first_port", 24000, "The first port.", lower_bound=1024, upper_bound=60000)
flags.DEFINE_multi_enum(
    "phase",
    ["rest", "change", "churn", "registry", "cut"],
    ["rest", "change", "churn", "registry", "cut"],
    "Phases to run after the start.",
)
flags.DEFINE_string("out", "", "File for the results; standard output without it.")

_EXIT_COMPLETE, _EXIT_PARTIAL, _EXIT_USAGE = 0, 1, 2
# Restarts (including failures) and configuration changes of one day at the target scale.
_RESTARTS_PER_DAY, _CHANGES_PER_DAY = 45, 5


def main(arguments: list[str]) -> int:
    """Runs with the given flags; returns the exit status: 0 complete, 1 partial, 2 wrong usage."""
    try:
        positional = FLAGS(arguments)
    except flags.Error as error:
        print(error, file=sys.stderr)
        return _EXIT_USAGE
    if positional[1:] or FLAGS.real >= FLAGS.nodes:
        print(
            "usage: python3 -m tools.scale --nodes=N [--real=K] [--runs=R] [--out=FILE]; "
            "fewer real nodes than nodes",
            file=sys.stderr,
        )
        return _EXIT_USAGE
    document = {
        "command": arguments[1:],
        "commit": _run_git("rev-parse", "HEAD"),
        "dirty": bool(_run_git("status", "--porcelain", "marblefold", "tools")),
        "at": datetime.now(UTC).isoformat(),
        "nodes": FLAGS.nodes,
        "runs": [],
    }
    for number in range(FLAGS.runs):
        document["runs"].append(asyncio.run(_run(FLAGS.first_port + 20 * number)))
    document["partial"] = any("partial" in run for run in document["runs"])
    text = json.dumps(document, indent=1) + "\n"
    if FLAGS.out:
        Path(FLAGS.out).write_text(text)
    else:
        print(text, end="")
    return _EXIT_PARTIAL if document["partial"] else _EXIT_COMPLETE


async def _run(first_port: int) -> dict:
    layout = Layout(FLAGS.nodes, FLAGS.core, FLAGS.services, first_port)
    results: dict = {}
    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        async with Fleet(layout, Path(folder), FLAGS.each) as fleet:
            phases = Phases(fleet, FLAGS.routes, FLAGS.seconds, FLAGS.settle, FLAGS.longest)
            phase_methods = {
                "rest": phases.measure_idle,
                "change": phases.change_configuration,
                "churn": lambda: phases.churn(_RESTARTS_PER_DAY, _CHANGES_PER_DAY),
                "registry": phases.lose_registry,
                "cut": phases.partition,
            }
            name = "start"
            try:
                results["start"] = await phases.start(FLAGS.real)
                for name in FLAGS.phase:
                    results[name] = await phase_methods[name]()
            except (TimeoutError, RuntimeError, OSError) as error:
                # Keeps the results of the completed phases; later phases did not run.
                results["partial"] = f"{name}: {error or 'not done in time'}"
    return results


def _run_git(*arguments: str) -> str:
    completed = subprocess.run(["git", *arguments], capture_output=True, text=True, check=False)
    return completed.stdout.strip()


if __name__ == "__main__":
    sys.exit(main(sys.argv))
