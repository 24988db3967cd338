"""python3 -m tools.soak.node HOST UNREACHABLE_HOSTS_FILE PROGRAM: runs one program of the mesh.

The program runs on an event loop that simulates network partitions. The file lists the
unreachable addresses, one per line, and is polled for changes.
"""

import asyncio
import sys
from pathlib import Path

from marblefold.early_signals import ignore_reload_signal
from marblefold.lean_imports import stub_unused_modules

ignore_reload_signal()
stub_unused_modules()

from marblefold.command_line import main  # noqa: E402
from tools.soak.partitionable_loop import PartitionableEventLoop  # noqa: E402

_POLL_INTERVAL_SECONDS = 0.03


class _PartitionableLoopPolicy(asyncio.DefaultEventLoopPolicy):
    """Creates event loops that apply each change of the file of unreachable addresses."""

    def __init__(self, host: str, path: Path) -> None:
        super().__init__()
        self._host = host
        self._path = path
        self._text = ""

    def new_event_loop(self) -> PartitionableEventLoop:
        loop = PartitionableEventLoop(self._host)
        self._poll_unreachable_hosts(loop)
        return loop

    def _poll_unreachable_hosts(self, loop: PartitionableEventLoop) -> None:
        text = self._path.read_text() if self._path.exists() else ""
        if text != self._text:
            self._text = text
            loop.set_unreachable_hosts(text.split())
        loop.call_later(_POLL_INTERVAL_SECONDS, self._poll_unreachable_hosts, loop)


if __name__ == "__main__":
    asyncio.set_event_loop_policy(_PartitionableLoopPolicy(sys.argv[1], Path(sys.argv[2])))
    sys.exit(main(["marblefold", *sys.argv[3:]]))
