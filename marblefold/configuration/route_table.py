"""Finds the route of a request."""

from marblefold.configuration.rows import ConfigurationRows, Route, Upstream

__all__ = ["RouteTable"]


class RouteTable:
    """A configuration laid out for look-ups; made anew for each configuration, never changed."""

    def __init__(self, rows: ConfigurationRows) -> None:
        self.number = rows.number
        self.limits = rows.limits
        self.count = len(rows.routes)
        self.upstreams: dict[str, Upstream] = {
            upstream.name: upstream for upstream in rows.upstreams
        }
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in rows.routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, target: str) -> Route | None:
        """The route with the longest prefix of the path, if there is one."""
        prefixes = self._hosts.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        path = target.partition("?")[0]
        # Prefixes end with a slash, so only cuts behind a slash can match;
        # the whole path is tried for an operator who left the slash out.
        found = prefixes.get(path)
        end = len(path)
        while found is None:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            found = prefixes.get(path[: end + 1])
        return found
