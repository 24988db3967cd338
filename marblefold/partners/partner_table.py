"""The table of all partners' routes, as a pure function of the partners' document.

Every node computes it from the same document and reports its digest.  Nodes do
not need the parser of grants and exports or its libraries.
"""

import json
from datetime import timedelta
from typing import NamedTuple

from marblefold.configuration.rows import Route

__all__ = ["PartnerTable", "UPSTREAM_PREFIX", "build_partner_table", "partner_of"]

UPSTREAM_PREFIX = "partner/"
_MILLISECOND = timedelta(milliseconds=1)


class PartnerTable(NamedTuple):
    """The exported routes by host and prefix, and the partners' addresses by name."""

    number: int
    digest: str
    routes: dict[str, dict[str, Route]]
    addresses: dict[str, str]

    def find(self, host: str, path: str) -> Route | None:
        """Returns the exported route with the longest matching prefix, or None."""
        prefixes = self.routes.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        path = path.partition("?")[0]
        matching = [prefix for prefix in prefixes if path.startswith(prefix)]
        return prefixes[max(matching, key=len)] if matching else None


def build_partner_table(number: int, value: bytes) -> PartnerTable:
    """Builds the table from the partners' document at its number."""
    # Imported lazily: only nodes with partners need this library.
    import hashlib

    partners = json.loads(value)["partners"] if value else {}
    routes: dict[str, dict[str, Route]] = {}
    addresses: dict[str, str] = {}
    lines = []
    for name in sorted(partners):
        partner = partners[name]
        # Everything that no active partner exports is private.
        if partner["withdrawn"] or partner["lapsed"]:
            continue
        addresses[name] = partner["address"]
        for row in sorted(partner["exports"], key=lambda row: (row["host"], row["prefix"])):
            routes.setdefault(row["host"], {})[row["prefix"]] = Route(
                f"{UPSTREAM_PREFIX}{name}{row['prefix']}",
                row["host"],
                row["prefix"],
                row["kind"],
                row["timeout-ms"] * _MILLISECOND,
                row["latency-ms"] * _MILLISECOND,
                2 if row["kind"] == "read_only" else 1,
                1,
                (UPSTREAM_PREFIX + name,),
                (1.0,),
                (),
            )
            lines.append([name, partner["address"], row])
    digest = hashlib.sha256(json.dumps(lines, sort_keys=True).encode()).hexdigest()[:16]
    return PartnerTable(number, digest, routes, addresses)


def partner_of(upstream: str) -> str:
    """Returns the partner that an upstream name refers to, or an empty string."""
    return upstream[len(UPSTREAM_PREFIX) :] if upstream.startswith(UPSTREAM_PREFIX) else ""
