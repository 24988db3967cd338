"""python3 -m tools.soak.core --seeds=1,2: exits with 1 if an invariant was violated."""

import asyncio
import json
import sys
from dataclasses import asdict

from absl import app, flags

from tools.soak.core.run import CoreSoakSettings, soak_core

FLAGS = flags.FLAGS
flags.DEFINE_list("seeds", ["1"], "Seeds to run, one after the other.")
flags.DEFINE_float("seconds", 15.0, "Seconds of faults per seed.", lower_bound=0, upper_bound=3600)
flags.DEFINE_integer("readers", 4, "Clients at each registry.", lower_bound=1, upper_bound=64)
flags.DEFINE_integer("operators", 1, "Operators that race.", lower_bound=0, upper_bound=8)
flags.DEFINE_bool("faults", True, "Whether to inject faults; without them all must be answered.")
flags.DEFINE_string("out", "", "File to which each outcome is appended as a JSON line.")
flags.DEFINE_string("logs", "", "Folder to keep the logs of the programs in.")
flags.DEFINE_string("previous", "", 'A commit, or "production", that runs beside this build.')


def main(_arguments: list[str]) -> int:
    """Runs each seed and returns the exit status."""
    failed_seeds = 0
    for seed in FLAGS.seeds:
        settings = CoreSoakSettings(
            int(seed),
            FLAGS.seconds,
            FLAGS.readers,
            FLAGS.operators,
            FLAGS.faults,
            FLAGS.logs,
            FLAGS.previous,
        )
        outcome = asyncio.run(soak_core(settings))
        print(
            f"seed {outcome.seed}: {outcome.answered} reads answered, {outcome.unanswered} not, "
            f"{outcome.acknowledged} of {outcome.changes} changes acknowledged, "
            f"longest time without an answer in calm times {outcome.longest_calm_gap:.2f} s, "
            f"{len(outcome.faults)} faults, violations: {'; '.join(outcome.violations) or 'none'}",
            flush=True,
        )
        failed_seeds += bool(outcome.violations)
        if FLAGS.out:
            with open(FLAGS.out, "a", encoding="utf-8") as file:
                file.write(json.dumps(asdict(outcome)) + "\n")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(app.run(main))
