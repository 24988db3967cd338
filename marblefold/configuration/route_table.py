"""Looks up the route of a request."""

from marblefold.configuration.rows import ConfigurationRows, Route, Upstream

__all__ = ["RouteTable"]


class RouteTable:
    """A configuration indexed for lookups; immutable, one instance per configuration."""

    def __init__(self, rows: ConfigurationRows) -> None:
        self.number = rows.number
        self.limits = rows.limits
        self.route_count = len(rows.routes)
        self.upstreams: dict[str, Upstream] = {
            upstream.name: upstream for upstream in rows.upstreams
        }
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in rows.routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, target: str) -> Route | None:
        """Returns the route of the host with the longest matching path prefix, or None."""
        prefixes = self._hosts.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        path = target.partition("?")[0]
        # Prefixes end with a slash, so only the parts of the path up to a slash can match.
        # The whole path is looked up too, for prefixes configured without the slash.
        route = prefixes.get(path)
        end = len(path)
        while route is None:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = prefixes.get(path[: end + 1])
        return route
