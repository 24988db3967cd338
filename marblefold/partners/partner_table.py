"""The merged table of partner routes: a pure function of the partners' document.

Every node computes it from the same document and reports its digest; nodes
need neither the parser of grants and exports nor its libraries.
"""

import json
from datetime import timedelta
from typing import NamedTuple

from marblefold.configuration.rows import Route

__all__ = ["PartnerTable", "UPSTREAM_PREFIX", "build_partner_table", "partner_of"]

UPSTREAM_PREFIX = "partner/"
_MILLISECOND = timedelta(milliseconds=1)


class PartnerTable(NamedTuple):
    """The exported routes, by host and prefix."""

    number: int
    digest: str
    routes: dict[str, dict[str, Route]]
    addresses: dict[str, str]

    def find(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix that a partner exports."""
        prefixes = self.routes.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        path = path.partition("?")[0]
        fitting = [prefix for prefix in prefixes if path.startswith(prefix)]
        return prefixes[max(fitting, key=len)] if fitting else None


def build_partner_table(number: int, value: bytes) -> PartnerTable:
    """The table of the partners' document at its number."""
    # Imported here: only a node with partners pays for this library.
    import hashlib

    partners = json.loads(value)["partners"] if value else {}
    routes: dict[str, dict[str, Route]] = {}
    addresses: dict[str, str] = {}
    lines = []
    for name in sorted(partners):
        partner = partners[name]
        # Whatever no partner in force exports is private.
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
    """The partner that an upstream name stands for, or an empty text."""
    return upstream[len(UPSTREAM_PREFIX) :] if upstream.startswith(UPSTREAM_PREFIX) else ""
