"""python3 -m tools.model_check --members 3 --depth 12: explores and prints how far."""

import argparse
import sys
import time

from tools.model_check.search import search
from tools.model_check.world import Bounds

# Two proposers whose quorums intersect only in x, the member that may lose its disk.
_REACHABLE_MEMBERS = {3: (("x", "y"), ("w", "x")), 5: (("u", "x", "y"), ("w", "x", "z"))}
_MEMBERS = {3: ("w", "x", "y"), 5: ("u", "w", "x", "y", "z")}


def make_bounds(members: int, wipes: int, power_losses: int) -> Bounds:
    """Returns the bounds of a search with three or five members."""
    return Bounds(_MEMBERS[members], _REACHABLE_MEMBERS[members], ("x",), wipes, power_losses)


def main() -> int:
    """Runs the search with the given options; returns 1 if an invariant was violated."""
    parser = argparse.ArgumentParser(prog="tools.model_check")
    parser.add_argument("--members", type=int, choices=(3, 5), default=3)
    parser.add_argument("--depth", type=int, default=12)
    parser.add_argument("--wipes", type=int, default=1)
    parser.add_argument("--power-losses", type=int, default=0)
    parser.add_argument("--states", type=int, default=100_000)
    parser.add_argument("--seed", type=int, default=0)
    options = parser.parse_args()
    bounds = make_bounds(options.members, options.wipes, options.power_losses)
    started_at = time.monotonic()
    result = search(bounds, options.depth, options.states, options.seed)
    print(
        f"states {result.states}, depth {result.depth}, "
        f"{'complete' if result.is_complete else 'not complete'}, "
        f"{time.monotonic() - started_at:.1f} s"
    )
    if result.violation:
        print(result.violation)
        for action in result.trace:
            print(" ", action.kind, action.member, action.proposer, *action.sources)
    return 1 if result.violation else 0


if __name__ == "__main__":
    sys.exit(main())
