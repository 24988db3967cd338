"""A configuration, targets and the client's view of requests, for tests of the whole path."""

import re
from datetime import timedelta
from types import SimpleNamespace

from marblefold.configuration.rows import ConfigurationRows, Route, Upstream
from marblefold.configuration.rows import Limits as RouteLimits
from marblefold.inner_protocol.messages import messages_pb2

MAX_ATTEMPTS = 2
ANSWER = re.compile(rb"HTTP/1\.1 (\d+) [^\r]*\r\n((?:[^\r]+\r\n)*)\r\n(.*)", re.DOTALL)


def make_rows():
    routes = [
        Route(
            name,
            "shop",
            f"/{name}/",
            kind,
            timedelta(seconds=2),
            timedelta(seconds=1),
            MAX_ATTEMPTS,
            0,
            ("quotes",),
            (1.0,),
            (),
        )
        for name, kind in (("read", "read_only"), ("book", "mutating"))
    ]
    limits = RouteLimits(16384, 1_000_000, timedelta(seconds=3), timedelta(seconds=15))
    return ConfigurationRows(3, tuple(routes), (Upstream("quotes", "/health", 100, 0.0),), limits)


def make_entry(number):
    notice = messages_pb2.TargetNotice(
        node=f"n{number}",
        address=f"10.0.0.{number}:7600",
        zone="hall",
        region="here",
        instance=f"i{number}",
        upstream="quotes",
        slots=4,
        state="ready",
    )
    return messages_pb2.Entry(
        kind="target", key=f"n{number}", life=1, number=1, value=notice.SerializeToString()
    )


class TrackedRequest:
    """A request as its client sees it, and what was written of it to targets."""

    def __init__(self, name, is_mutating, sent_at, deadline, transport):
        self.name, self.is_mutating, self.sent_at, self.deadline = (
            name,
            is_mutating,
            sent_at,
            deadline,
        )
        self.transport, self.is_disconnected = transport, False
        # Each write of the request to a target, and whether the target refused it.
        self.writes, self.writes_at_disconnect, self.answers_given = [], None, {}

    @property
    def answer(self):
        found = ANSWER.match(bytes(self.transport.written))
        return (int(found[1]), found[2], found[3]) if found else None


class TargetWrite(SimpleNamespace):
    """One write of a request to a target."""
