"""python3 -m tools.soak.planned --seeds=1,2: exits with 1 if an answer was cut."""

import asyncio
import sys

from absl import app, flags

from tools.soak.planned.run import soak_planned

FLAGS = flags.FLAGS
flags.DEFINE_list("seeds", ["1"], "Seeds to run, one after the other.")
flags.DEFINE_float("seconds", 20.0, "Seconds of planned work per seed.", lower_bound=1)
flags.DEFINE_integer("clients", 24, "Connections in use.", lower_bound=1, upper_bound=500)
flags.DEFINE_string("previous", "", 'A commit, or "production", that runs beside this build.')


def main(_arguments: list[str]) -> int:
    """Runs each seed and returns the exit status."""
    failed_seeds = 0
    for seed in FLAGS.seeds:
        outcome = asyncio.run(soak_planned(int(seed), FLAGS.seconds, FLAGS.clients, FLAGS.previous))
        print(
            f"seed {outcome.seed}: {outcome.served} of {outcome.asked} served, "
            f"{outcome.stops} stops, {outcome.reloads} reloads, {outcome.changes} changes, "
            f"violations: {'; '.join(outcome.violations) or 'none'}",
            flush=True,
        )
        failed_seeds += bool(outcome.violations)
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(app.run(main))
