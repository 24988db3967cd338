"""What the nodes have counted, as one registry received it: rates by route and zone."""

from typing import NamedTuple

from marblefold.inner_protocol.messages import kinds

__all__ = ["Flow", "TrafficRates"]

# Counts that a node has not sent again for longer say nothing of now.
_OLDEST_SECONDS = 60.0


class Flow(NamedTuple):
    """The requests of one route that begin in one zone."""

    route: str
    zone: str
    per_second: float
    # How long one takes in the mean.
    seconds: float
    refused_share: float
    unknown_share: float
    age_seconds: float
    # What one moves in the mean; None where it was not counted.
    kilobytes: float | None = None


class _Received(NamedTuple):
    """A notice and when it came."""

    notice: kinds.TrafficNotice
    at: float


class TrafficRates:
    """The last two notices of every node; nothing else."""

    def __init__(self) -> None:
        self._last: dict[str, _Received] = {}
        self._before: dict[str, _Received] = {}

    def record(self, notice: kinds.TrafficNotice, now: float) -> None:
        """Takes in the counts that a node sent."""
        last = self._last.get(notice.node)
        if last is not None:
            order = (last.notice.node_life, last.notice.number)
            if (notice.node_life, notice.number) <= order:
                return
            # Counts of a fresh start cannot be compared with those before it.
            if last.notice.node_life == notice.node_life:
                self._before[notice.node] = last
            else:
                self._before.pop(notice.node, None)
        self._last[notice.node] = _Received(notice, now)

    def nodes(self, now: float) -> set[str]:
        """The nodes whose rates are known."""
        return {
            node
            for node, received in self._last.items()
            if node in self._before and now - received.at <= _OLDEST_SECONDS
        }

    def zones(self) -> dict[str, str]:
        """The zone of each node that ever sent counts."""
        return {node: received.notice.zone for node, received in self._last.items()}

    def flows(self, now: float) -> list[Flow]:
        """The rates by route and zone, per second, summed over the nodes."""
        sums: dict[tuple[str, str], list[float]] = {}
        for node in self.nodes(now):
            last, before = self._last[node], self._before[node]
            window = max(1e-3, last.at - before.at)
            earlier = {row.route: row for row in before.notice.routes}
            for row in last.notice.routes:
                old = earlier.get(row.route, kinds.RouteCount())
                requests = row.requests - old.requests
                if requests <= 0:
                    continue
                found = sums.setdefault((row.route, last.notice.zone), [0.0] * 7)
                for place, value in enumerate(
                    (
                        requests / window,
                        requests,
                        row.milliseconds - old.milliseconds,
                        row.refused - old.refused,
                        row.unknown - old.unknown,
                        row.kilobytes - old.kilobytes,
                    )
                ):
                    found[place] += value
                found[6] = max(found[6], now - last.at)
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
        """By upstream, the mean seconds that a request takes at its targets."""
        found: dict[str, list[float]] = {}
        for node, received in self._last.items():
            upstream = upstream_of.get(node)
            if upstream is not None and received.notice.service_us:
                found.setdefault(upstream, []).append(received.notice.service_us / 1e6)
        return {upstream: sum(values) / len(values) for upstream, values in found.items()}
