"""Keeps a reload signal from ending a program that has not installed its handlers yet.

The default action of SIGHUP ends the process. A program installs its own handler only after
its imports, its config file and its records on disk, which may take seconds on a busy
machine, and operators signal every program when the seeds change.
"""

import signal

__all__ = ["ignore_reload_signal"]


def ignore_reload_signal() -> None:
    """Ignores SIGHUP until the program handles it; it finds a changed file without the signal."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
