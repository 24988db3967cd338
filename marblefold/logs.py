"""Structured logging: one JSON line per event on standard output."""

import logging
import sys

import structlog

__all__ = ["start_logs", "log"]

log = structlog.get_logger()


def start_logs(program: str) -> None:
    """Configures the logging of this process; every line carries the program name."""

    def add_program(_logger, _method, event):
        event["program"] = program
        return event

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            add_program,
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        # Events below the level are dropped without running the processors.
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stdout),
        cache_logger_on_first_use=True,
    )
