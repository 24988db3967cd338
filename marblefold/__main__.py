"""The command line: python3 -m marblefold PROGRAM."""

import sys

from marblefold.command_line import main

sys.exit(main(sys.argv))
