"""Entry point of the command line: python3 -m marblefold PROGRAM."""

import sys

from marblefold.early_signals import ignore_reload_signal
from marblefold.lean_imports import stub_unused_modules

# Before the imports below, which take most of the time of a start.
ignore_reload_signal()

# The tools are clients and need modules that the daemons run without.
if not {"plan", "windows", "partners", "owners", "trace", "rehearse", "history"} & set(
    sys.argv[1:]
):
    stub_unused_modules()

from marblefold.command_line import main  # noqa: E402

sys.exit(main(sys.argv))
