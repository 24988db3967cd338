"""Request rates by route and zone, from the counters that nodes send to this registry."""

from typing import NamedTuple

from marblefold.inner_protocol.messages import messages_pb2

__all__ = ["Flow", "TrafficRates"]

# Counters of a node that are older than this are ignored.
_MAX_AGE_SECONDS = 60.0


class Flow(NamedTuple):
    """The traffic of one route that originates in one zone."""

    route: str
    zone: str
    per_second: float
    # The mean duration of a request.
    seconds: float
    refused_share: float
    unknown_share: float
    age_seconds: float
    # The mean size of a request in kilobytes; None if it was not counted.
    kilobytes: float | None = None


class _Received(NamedTuple):
    """A report and when it was received, in monotonic seconds."""

    notice: messages_pb2.TrafficNotice
    received_at: float


class TrafficRates:
    """Keeps the last two reports of every node and derives rates from them."""

    def __init__(self) -> None:
        self._last: dict[str, _Received] = {}
        self._previous: dict[str, _Received] = {}

    def record(self, notice: messages_pb2.TrafficNotice, now: float) -> None:
        """Records the counters that a node sent; ignores outdated ones."""
        last = self._last.get(notice.node)
        if last is not None:
            order = (last.notice.node_life, last.notice.number)
            if (notice.node_life, notice.number) <= order:
                return
            # Counters start anew with the process, so they are not compared across a restart.
            if last.notice.node_life == notice.node_life:
                self._previous[notice.node] = last
            else:
                self._previous.pop(notice.node, None)
        self._last[notice.node] = _Received(notice, now)

    def nodes(self, now: float) -> set[str]:
        """The nodes with known rates."""
        return {
            node
            for node, received in self._last.items()
            if node in self._previous and now - received.received_at <= _MAX_AGE_SECONDS
        }

    def zones(self) -> dict[str, str]:
        """The zone of each node that has sent counters."""
        return {node: received.notice.zone for node, received in self._last.items()}

    def flows(self, now: float) -> list[Flow]:
        """The traffic by route and zone, summed over the nodes; rates are per second."""
        sums: dict[tuple[str, str], list[float]] = {}
        for node in self.nodes(now):
            last, previous = self._last[node], self._previous[node]
            window = max(1e-3, last.received_at - previous.received_at)
            previous_rows = {row.route: row for row in previous.notice.routes}
            for row in last.notice.routes:
                previous_row = previous_rows.get(row.route, messages_pb2.RouteCount())
                requests = row.requests - previous_row.requests
                if requests <= 0:
                    continue
                sums_of_flow = sums.setdefault((row.route, last.notice.zone), [0.0] * 7)
                for index, value in enumerate(
                    (
                        requests / window,
                        requests,
                        row.milliseconds - previous_row.milliseconds,
                        row.refused - previous_row.refused,
                        row.unknown - previous_row.unknown,
                        row.kilobytes - previous_row.kilobytes,
                    )
                ):
                    sums_of_flow[index] += value
                sums_of_flow[6] = max(sums_of_flow[6], now - last.received_at)
        return [
            Flow(
                route,
                zone,
                rate,
                milliseconds / 1000.0 / count,
                refused / count,
                unknown / count,
                age,
                kilobytes / count,
            )
            for (route, zone), (
                rate,
                count,
                milliseconds,
                refused,
                unknown,
                kilobytes,
                age,
            ) in sorted(sums.items())
        ]

    def service_seconds(self, upstream_of: dict[str, str]) -> dict[str, float]:
        """The mean service time at the targets, in seconds, by upstream."""
        durations: dict[str, list[float]] = {}
        for node, received in self._last.items():
            upstream = upstream_of.get(node)
            if upstream is not None and received.notice.service_us:
                durations.setdefault(upstream, []).append(received.notice.service_us / 1e6)
        return {upstream: sum(values) / len(values) for upstream, values in durations.items()}
