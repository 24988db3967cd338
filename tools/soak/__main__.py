"""python3 -m tools.soak --seeds=1,2,3 --seconds=60: exits with 1 if an invariant was violated."""

import asyncio
import json
import sys

from absl import app, flags

from tools.soak.run import soak

FLAGS = flags.FLAGS
flags.DEFINE_list("seeds", ["1"], "Seeds to run, one after the other.")
flags.DEFINE_float(
    "seconds", 30.0, "Seconds of fault injection per seed.", lower_bound=1, upper_bound=3600
)
flags.DEFINE_float("rate", 150.0, "Requests a second.", lower_bound=1, upper_bound=2000)
flags.DEFINE_string("out", "", "File to which each outcome is appended as a JSON line.")
flags.DEFINE_string("previous", "", 'A commit, or "production", that runs beside this build.')


def main(_arguments: list[str]) -> int:
    """Runs each seed and returns the exit status."""
    failed_seeds = 0
    for seed in FLAGS.seeds:
        outcome = asyncio.run(soak(int(seed), FLAGS.seconds, FLAGS.rate, FLAGS.previous))
        print(
            f"seed {outcome.seed}: {outcome.served} of {outcome.asked} served, "
            f"{outcome.changes} changes, {outcome.evacuations} evacuations, "
            f"{len(outcome.troubles)} troubles, worst cold second {outcome.worst_cold_second}, "
            f"violations: {'; '.join(outcome.violations) or 'none'}",
            flush=True,
        )
        failed_seeds += bool(outcome.violations)
        if FLAGS.out:
            with open(FLAGS.out, "a", encoding="utf-8") as file:
                file.write(json.dumps(outcome.as_dict()) + "\n")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(app.run(main))
