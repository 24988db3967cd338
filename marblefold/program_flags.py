"""The flags of the programs; bad values are refused at the start."""

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
flags.DEFINE_bool("trace", False, "Record the steps of requests and keep those worth it.")
flags.DEFINE_float(
    "trace_sample_rate",
    0.0,
    "Share of the lookups whose traces are kept.",
    lower_bound=0.0,
    upper_bound=1.0,
)
flags.DEFINE_float(
    "trace_kept_per_second",
    20.0,
    "Traces that one node begins to keep in a second.",
    lower_bound=0.0,
    upper_bound=1000.0,
)
flags.DEFINE_integer(
    "trace_ring",
    1024,
    "Spans that a node holds of requests that are not kept so far.",
    lower_bound=16,
    upper_bound=65536,
)
flags.DEFINE_integer(
    "trace_spans_per_second",
    64,
    "Spans that a node sends in a second.",
    lower_bound=1,
    upper_bound=4096,
)
flags.DEFINE_integer(
    "trace_collected_spans",
    20_000,
    "Spans that a registry holds.",
    lower_bound=100,
    upper_bound=1_000_000,
)
flags.DEFINE_float(
    "traffic_notice_s",
    10.0,
    "Seconds between the counts that a node tells; 0 tells none.",
    lower_bound=0.0,
    upper_bound=600.0,
)

flags.DEFINE_bool(
    "history", False, "Keep acknowledged configurations in a Git object store, at registries."
)


class TraceOptions(NamedTuple):
    """How much is recorded, kept and sent."""

    sample_rate: float = 0.0
    kept_per_second: float = 20.0
    ring: int = 1024
    spans_per_second: int = 64


def read_trace_options() -> TraceOptions | None:
    """What the flags say; None where nothing is to be recorded."""
    # Tests put programs together without a command line.
    if not FLAGS.is_parsed() or not FLAGS.trace:
        return None
    return TraceOptions(
        FLAGS.trace_sample_rate,
        FLAGS.trace_kept_per_second,
        FLAGS.trace_ring,
        FLAGS.trace_spans_per_second,
    )


def read_collected_spans() -> int:
    """How many spans a registry holds."""
    return FLAGS.trace_collected_spans if FLAGS.is_parsed() else 20_000


def read_traffic_period() -> timedelta:
    """How often a node tells what it counted; zero where it does not."""
    return timedelta(seconds=FLAGS.traffic_notice_s if FLAGS.is_parsed() else 10.0)


def is_history_on() -> bool:
    """Whether a registry keeps the configurations that were acknowledged."""
    return FLAGS.is_parsed() and FLAGS.history
