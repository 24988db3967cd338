"""Command line flags that several programs share; invalid values are rejected at startup."""

from datetime import timedelta
from typing import NamedTuple

from absl import flags

__all__ = [
    "TraceOptions",
    "is_history_on",
    "read_collected_spans",
    "read_trace_options",
    "read_traffic_period",
]

FLAGS = flags.FLAGS
flags.DEFINE_bool("trace", False, "Trace requests and keep the traces that are worth keeping.")
flags.DEFINE_float(
    "trace_sample_rate",
    0.0,
    "Fraction of read requests whose traces are kept.",
    lower_bound=0.0,
    upper_bound=1.0,
)
flags.DEFINE_float(
    "trace_kept_per_second",
    20.0,
    "Traces per second that one node starts to keep.",
    lower_bound=0.0,
    upper_bound=1000.0,
)
flags.DEFINE_integer(
    "trace_ring",
    1024,
    "Spans that a node buffers for traces that are not kept yet.",
    lower_bound=16,
    upper_bound=65536,
)
flags.DEFINE_integer(
    "trace_spans_per_second",
    64,
    "Spans per second that a node sends.",
    lower_bound=1,
    upper_bound=4096,
)
flags.DEFINE_integer(
    "trace_collected_spans",
    20_000,
    "Spans that a registry stores.",
    lower_bound=100,
    upper_bound=1_000_000,
)
flags.DEFINE_float(
    "traffic_notice_s",
    10.0,
    "Seconds between traffic reports of a node; 0 disables them.",
    lower_bound=0.0,
    upper_bound=600.0,
)

flags.DEFINE_bool(
    "history", False, "Registries keep acknowledged configurations in a Git object store."
)


class TraceOptions(NamedTuple):
    """Limits on the traces that a node records, keeps and sends."""

    sample_rate: float = 0.0
    kept_per_second: float = 20.0
    ring: int = 1024
    spans_per_second: int = 64


def read_trace_options() -> TraceOptions | None:
    """Returns the options given by the flags; None if tracing is disabled."""
    # Tests construct programs without a command line.
    if not FLAGS.is_parsed() or not FLAGS.trace:
        return None
    return TraceOptions(
        FLAGS.trace_sample_rate,
        FLAGS.trace_kept_per_second,
        FLAGS.trace_ring,
        FLAGS.trace_spans_per_second,
    )


def read_collected_spans() -> int:
    """Returns how many spans a registry stores."""
    return FLAGS.trace_collected_spans if FLAGS.is_parsed() else 20_000


def read_traffic_period() -> timedelta:
    """Returns the interval between traffic reports of a node; zero if they are disabled."""
    return timedelta(seconds=FLAGS.traffic_notice_s if FLAGS.is_parsed() else 10.0)


def is_history_on() -> bool:
    """Whether registries keep the history of acknowledged configurations."""
    return FLAGS.is_parsed() and FLAGS.history
