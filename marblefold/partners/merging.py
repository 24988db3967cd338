"""The merged table of partner routes: a pure function of the partners' words.

Every node makes it from the same document and tells its digest; nodes need
neither the reader of the words nor its libraries.
"""

import json
from datetime import timedelta
from typing import NamedTuple

from marblefold.configuration.rows import Route

__all__ = ["PartnerTable", "UPSTREAM_PREFIX", "merge", "partner_of"]

UPSTREAM_PREFIX = "partner/"
_MILLISECOND = timedelta(milliseconds=1)


class PartnerTable(NamedTuple):
    """What partners let us reach, by host and prefix."""

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


def merge(number: int, value: bytes) -> PartnerTable:
    """The table that follows from the partners' document at its number."""
    # Only who has a partner pays for this library.
    import hashlib

    partners = json.loads(value)["partners"] if value else {}
    routes: dict[str, dict[str, Route]] = {}
    addresses: dict[str, str] = {}
    lines = []
    for name in sorted(partners):
        partner = partners[name]
        # What was not exported by a word that still stands is private.
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
    """The partner that an upstream stands for, or nothing."""
    return upstream[len(UPSTREAM_PREFIX) :] if upstream.startswith(UPSTREAM_PREFIX) else ""
