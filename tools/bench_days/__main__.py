"""python3 -m tools.bench_days: runs the project's bench days with several seeds on one site."""

import json
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict
from functools import partial
from pathlib import Path

from absl import flags

from tools.bench_days.days import Day, read_days, write_day_without_kinds
from tools.bench_days.outcome import (
    Outcome,
    find_journal_entry,
    find_unavailable_kind,
    make_failed_outcome,
    read_outcome,
)

__all__ = ["main"]

FLAGS = flags.FLAGS
flags.DEFINE_string("bench", None, "Path of fleetbench.")
flags.DEFINE_string("site", None, "Path of the site file.")
flags.DEFINE_multi_string("day", [], "Name of a day to run; all days if not given.")
flags.DEFINE_multi_integer("seed", [101], "Seed of a run; each day runs with each seed.")
flags.DEFINE_integer(
    "jobs", 1, "Number of days that run concurrently.", lower_bound=1, upper_bound=3
)
flags.DEFINE_float("until", None, "Second at which each day ends.", lower_bound=1)
flags.DEFINE_float("longest", 1500.0, "Timeout of one run in seconds.", lower_bound=10)
flags.DEFINE_string(
    "why", "", "Reason of the runs; each journal entry records it with day and seed."
)
flags.DEFINE_boolean("go_on", False, "Continue after a broken rule.")
flags.DEFINE_string("out", "", "File to which each outcome is appended as a JSON line.")

_EXIT_CLEAN, _EXIT_BROKEN, _EXIT_USAGE = 0, 1, 2
# The bench truncates longer reasons.
_MAX_REASON_LENGTH = 119
_JOURNAL = Path("journal")


def main(arguments: list[str]) -> int:
    """Runs the selected days; returns 0 if all runs were played and broke no rule."""
    try:
        remaining = FLAGS(arguments)
        days = read_days(FLAGS.day)
    except (flags.Error, OSError, ValueError) as error:
        print(error, file=sys.stderr)
        return _EXIT_USAGE
    if remaining[1:] or not FLAGS.bench or not FLAGS.site:
        print(
            "usage: python3 -m tools.bench_days --bench=FLEETBENCH --site=FILE "
            "[--day=NAME]... [--seed=N]... [--jobs=N]",
            file=sys.stderr,
        )
        return _EXIT_USAGE
    runs = [(day, seed) for seed in FLAGS.seed for day in days]
    outcomes = []
    with ThreadPoolExecutor(FLAGS.jobs) as pool:
        failures: list[Outcome] = []
        for outcome in pool.map(partial(_play_unless_stopped, failures), runs):
            if outcome is None:
                continue
            outcomes.append(outcome)
            if not outcome.is_clean and not FLAGS.go_on:
                failures.append(outcome)
    failed_outcomes = [outcome for outcome in outcomes if not outcome.is_clean]
    print(
        f"{len(outcomes)} of {len(runs)} runs played, "
        f"{len(failed_outcomes)} broke a rule or have no figures"
    )
    return _EXIT_BROKEN if failed_outcomes or len(outcomes) < len(runs) else _EXIT_CLEAN


def _play_unless_stopped(failures: list[Outcome], run: tuple[Day, int]) -> Outcome | None:
    """Plays a run and prints its outcome; returns None if an earlier run has failed."""
    if failures:
        return None
    outcome = _play(*run)
    print(outcome.summary(), flush=True)
    for item in outcome.first:
        print(f"  {item}", flush=True)
    if FLAGS.out:
        with open(FLAGS.out, "a", encoding="utf-8") as file:
            file.write(json.dumps(asdict(outcome), default=sorted) + "\n")
    return outcome


def _play(day: Day, seed: int) -> Outcome:
    """Plays a run, without the kinds for which the site has no contract; the outcome names them."""
    site = Path(FLAGS.site).stem
    left_out: list[str] = []
    with tempfile.TemporaryDirectory(prefix="bench-day-") as name:
        folder = Path(name)
        while True:
            path = write_day_without_kinds(day, left_out, folder)
            if path is None:
                return Outcome(day.name, seed, site, left_out=tuple(left_out))
            try:
                output = _run_bench(path, day.name, seed, folder / "report.json")
            except subprocess.TimeoutExpired:
                return make_failed_outcome(day, seed, site, f"took more than {FLAGS.longest:g} s")
            unavailable = find_unavailable_kind(output)
            if unavailable is None or unavailable in left_out:
                break
            left_out.append(unavailable)
        entry = find_journal_entry(output, _JOURNAL)
        if entry is None or not (folder / "report.json").exists():
            return make_failed_outcome(day, seed, site, output)
        report = json.loads((folder / "report.json").read_text())
        return read_outcome(day, seed, json.loads(entry.read_text()), report, tuple(left_out))


def _run_bench(path: Path, name: str, seed: int, report: Path) -> str:
    """Runs the bench once and returns all that it prints. Raises subprocess.TimeoutExpired."""
    reason = f"Own day {name}, seed {seed}" + (f": {FLAGS.why}" if FLAGS.why else "")
    command = [
        FLAGS.bench,
        "run",
        FLAGS.site,
        str(path),
        "--seed",
        str(seed),
        "--jobs",
        "1",
        "--why",
        reason[:_MAX_REASON_LENGTH],
        "--report",
        str(report),
    ]
    if FLAGS.until:
        command += ["--until", f"{FLAGS.until:g}"]
    completed = subprocess.run(
        command,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
        timeout=FLAGS.longest,
    )
    return completed.stdout


if __name__ == "__main__":
    sys.exit(main(sys.argv))
