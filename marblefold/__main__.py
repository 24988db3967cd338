"""Entry point of the command line: python3 -m marblefold PROGRAM."""

import sys

from marblefold.lean_imports import stub_unused_modules

# The tools are clients and need modules that the daemons run without.
if not {"plan", "windows", "partners", "owners", "trace", "rehearse", "history"} & set(
    sys.argv[1:]
):
    stub_unused_modules()

from marblefold.command_line import main

sys.exit(main(sys.argv))
