"""The frame of a script: runs a case, writes its record, and turns the result into a status."""

import asyncio
import os
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.standins.fleet import Fleet

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
_MAX_SECONDS = 110


class Record:
    """What was sent, answered and run, line by line, in record.txt of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def write(self, line: str) -> None:
        """Writes a line with the time since the start of the script."""
        text = f"{time.monotonic() - self._began_at:7.2f} {line}"
        self._file.write(text + "\n")
        self._file.flush()
        print(text)


def run_case(
    case_file: str,
    make_fleet: Callable[[], Fleet],
    play: Callable[[Fleet, Record, bool], Awaitable[bool]],
) -> None:
    """Runs `play`, which returns whether the rule held, and exits with 0, 1 or 2.

    The disruption is left out if the variable TROUBLE is 0.
    """
    record = Record(Path(case_file).resolve().parent / "record.txt")
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("with the disruption" if with_trouble else "without the disruption")
    status = COULD_NOT_RUN
    fleet = None
    try:
        fleet = make_fleet()
        fleet.start()
        has_held = asyncio.run(_play_in_time(play, fleet, record, with_trouble))
        status = HELD if has_held else BROKEN
    except Exception as error:
        record.write(f"could not run: {error!r}")
        traceback.print_exc()
    finally:
        if fleet is not None:
            fleet.stop()
    record.write({HELD: "rule held", BROKEN: "rule broken"}.get(status, "could not run"))
    sys.exit(status)


async def _play_in_time(
    play: Callable[[Fleet, Record, bool], Awaitable[bool]],
    fleet: Fleet,
    record: Record,
    with_trouble: bool,
) -> bool:
    async with asyncio.timeout(_MAX_SECONDS):
        return await play(fleet, record, with_trouble)
