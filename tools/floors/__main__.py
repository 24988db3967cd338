"""python3 -m tools.floors ENTRY...: missed floors beside broken rules, from the journal.

ENTRY is the path of a journal entry, or the identity that the bench printed for it.
"""

import sys
from pathlib import Path

from tools.floors.report import describe, read_days

__all__ = ["main"]

_EXIT_CLEAN, _EXIT_MISSED, _EXIT_USAGE = 0, 1, 2
_JOURNAL = Path("journal")


def main(arguments: list[str]) -> int:
    """Prints the report of each entry; returns 0 if no rule was broken and no floor missed."""
    if not arguments:
        print(__doc__, file=sys.stderr)
        return _EXIT_USAGE
    is_clean = True
    for argument in arguments:
        try:
            site, days = read_days(_find_entry(argument))
        except (OSError, ValueError) as error:
            print(f"{argument}: {error}", file=sys.stderr)
            return _EXIT_USAGE
        print("\n".join(describe(site, days)))
        is_clean &= all(day.is_clean for day in days)
    return _EXIT_CLEAN if is_clean else _EXIT_MISSED


def _find_entry(argument: str) -> Path:
    path = Path(argument)
    if path.is_file():
        return path
    found = sorted(_JOURNAL.glob(f"*-{argument}.json"))
    if len(found) != 1:
        raise ValueError("no such journal entry")
    return found[0]


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
