"""Counts the requests that enter the mesh at this node, by route.

Counts are cumulative: the difference of two reports gives the rate in between, and
a lost report does not distort it.
"""

import time

from marblefold.inner_protocol.messages import messages_pb2

__all__ = ["TrafficCount"]

# The number of routes that a report lists; less used ones are combined into one row.
_MAX_ROUTES = 48
OTHER_ROUTES = ""


class _Counts:
    """The requests of one route since this process started."""

    __slots__ = ("requests", "answered", "refused", "unknown", "seconds", "kilobytes")

    def __init__(self) -> None:
        self.requests = self.answered = self.refused = self.unknown = 0
        self.seconds = self.kilobytes = 0.0


class TrafficCount:
    """Counts finished requests and builds reports of the counts."""

    def __init__(self) -> None:
        self._counts: dict[str, _Counts] = {}
        self._generation = int(time.time() * 1000)
        self._number = 0
        self._reported_total = -1

    def note(self, route: str, status: int, seconds: float, kilobytes: float) -> None:
        """Records a finished request: its time in seconds and its traffic in kilobytes."""
        counts = self._counts.get(route)
        if counts is None:
            counts = self._counts[route] = _Counts()
        counts.requests += 1
        counts.seconds += seconds
        counts.kilobytes += kilobytes
        if status in (429, 503):
            counts.refused += 1
        elif status in (0, 502, 504):
            counts.unknown += 1
        else:
            counts.answered += 1

    def make_report(
        self,
        node: str,
        zone: str,
        region: str,
        service_seconds: float,
    ) -> messages_pb2.TrafficNotice | None:
        """Returns the current counts; None if no request was counted since the last report."""
        total = sum(counts.requests for counts in self._counts.values())
        if total == self._reported_total:
            return None
        self._reported_total = total
        self._number += 1
        notice = messages_pb2.TrafficNotice(
            node=node,
            node_life=self._generation,
            number=self._number,
            zone=zone,
            region=region,
            service_us=int(service_seconds * 1e6),
        )
        ranked = sorted(self._counts.items(), key=lambda item: -item[1].requests)
        for name, counts in ranked[:_MAX_ROUTES]:
            _add_counts(notice.routes.add(route=name), counts)
        if ranked[_MAX_ROUTES:]:
            other_routes = notice.routes.add(route=OTHER_ROUTES)
            for _name, counts in ranked[_MAX_ROUTES:]:
                _add_counts(other_routes, counts)
        return notice


def _add_counts(row, counts: _Counts) -> None:
    row.requests += counts.requests
    row.answered += counts.answered
    row.refused += counts.refused
    row.unknown += counts.unknown
    row.milliseconds += int(counts.seconds * 1000)
    row.kilobytes += int(counts.kilobytes)
