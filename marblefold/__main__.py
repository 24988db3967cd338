"""The command line: python3 -m marblefold PROGRAM."""

import sys

# No program speaks TLS, and ssl costs each of them five megabytes: asyncio and
# aiohttp both do without it when it cannot be imported.
sys.modules["ssl"] = None

from marblefold.command_line import main  # noqa: E402

sys.exit(main(sys.argv))
