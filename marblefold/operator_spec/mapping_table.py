"""Finds the mapping of a request."""

from marblefold.operator_spec.rows import Mapping, Rows, Upstream

__all__ = ["MappingTable"]


class MappingTable:
    """A spec laid out for look-ups; made anew for each spec, never changed."""

    def __init__(self, rows: Rows) -> None:
        self.number = rows.number
        self.limits = rows.limits
        self.count = len(rows.mappings)
        self.upstreams: dict[str, Upstream] = {
            upstream.name: upstream for upstream in rows.upstreams
        }
        self._hosts: dict[str, dict[str, Mapping]] = {}
        for mapping in rows.mappings:
            self._hosts.setdefault(mapping.host, {})[mapping.prefix] = mapping

    def find(self, host: str, target: str) -> Mapping | None:
        """The mapping with the longest prefix of the path, if there is one."""
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
