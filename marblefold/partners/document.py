"""The partners' document, and one pure function for each change of it.

All partners are in one register, so that a conflict between two of them is
found by the same compare-and-set that stores the change.
"""

import json
from typing import NamedTuple

from marblefold.partners.request_bodies import Exports, Grant

__all__ = [
    "PartnersDocument",
    "PartnerChangeError",
    "grant_partner",
    "mark_lapsed",
    "put_exports",
    "withdraw_partner",
]


class PartnerChangeError(Exception):
    """A change that is refused, with the HTTP status and the reason for the caller."""

    def __init__(self, status: int, reason: object, number: int | None = None) -> None:
        super().__init__(str(reason))
        self.status = status
        self.reason = reason
        # The number in force, where a lower one was sent.
        self.number = number


class PartnersDocument(NamedTuple):
    """Every partner by name, as JSON values."""

    partners: dict[str, dict]

    def pack(self) -> bytes:
        """The document as bytes; the same document gives the same bytes."""
        return json.dumps({"partners": self.partners}, sort_keys=True).encode()

    @classmethod
    def read(cls, data: bytes) -> "PartnersDocument":
        """The document in the bytes; no bytes give an empty one."""
        return cls(json.loads(data)["partners"] if data else {})

    def with_partner(self, name: str, partner: dict) -> "PartnersDocument":
        """The document with the partner added or replaced."""
        return PartnersDocument({**self.partners, name: partner})


def grant_partner(document: PartnersDocument, name: str, grant: Grant) -> PartnersDocument:
    """Adds or replaces a partner by an operator's grant.

    Raises PartnerChangeError (409) if the number is not above the stored one.
    """
    held = document.partners.get(name)
    # Sent again after a lost answer: it was taken, so it is not refused.
    if held is not None and _is_same_grant(held, grant):
        return document
    _check_number(held, "number", grant.number)
    # Its earlier exports must be sent again under the new grant.
    return document.with_partner(
        name,
        {
            "number": grant.number,
            "hosts": list(grant.hosts),
            "address": grant.address,
            "credential": grant.credential,
            "lapse-after-s": grant.lapse_after_s,
            "withdrawn": False,
            "lapsed": False,
            "reads": 0,
            "exports-number": held["exports-number"] if held else 0,
            "exports": [],
        },
    )


def withdraw_partner(document: PartnersDocument, name: str) -> PartnersDocument:
    """The operator withdraws a partner. Raises PartnerChangeError (404) where there is none."""
    held = _find(document, name)
    return document.with_partner(name, {**held, "withdrawn": True, "exports": []})


def put_exports(document: PartnersDocument, name: str, sent: Exports) -> PartnersDocument:
    """The partner sends its exports, new ones or the same again as a sign of life.

    Raises PartnerChangeError: 400 not granted, 403 withdrawn, 404 unknown, 409 number or conflict.
    """
    held = _find(document, name)
    if held["withdrawn"]:
        raise PartnerChangeError(403, f"partner {name} is withdrawn")
    rows = [
        {
            "host": export.host,
            "prefix": export.prefix,
            "kind": export.kind,
            "timeout-ms": export.timeout_ms,
            "latency-ms": export.latency_ms,
        }
        for export in sent.exports
    ]
    is_same = sent.number == held["exports-number"] and rows == held["exports"]
    if not is_same:
        _check_number(held, "exports-number", sent.number)
    faults = [
        f"exports[{index}].host: {row['host']!r} is not granted to {name}"
        for index, row in enumerate(rows)
        if row["host"] not in held["hosts"]
    ]
    for index, row in enumerate(rows):
        other = _find_exporter(document, name, row)
        if other:
            faults.append(f"exports[{index}].prefix: {other} exports the same host and prefix")
    if faults:
        raise PartnerChangeError(409 if "same host" in faults[0] else 400, faults)
    return document.with_partner(
        name,
        {
            **held,
            "exports-number": sent.number,
            "exports": rows,
            "lapsed": False,
            "reads": held["reads"] + 1,
        },
    )


def mark_lapsed(document: PartnersDocument, name: str, reads: int) -> PartnersDocument:
    """Marks a partner that has not sent its exports for too long.

    Changes nothing if it has sent them since `reads` was seen.
    """
    held = document.partners.get(name)
    # It may have sent them since.
    if held is None or held["reads"] != reads or held["lapsed"]:
        return document
    return document.with_partner(name, {**held, "lapsed": True})


def _is_same_grant(held: dict, grant: Grant) -> bool:
    return not held["withdrawn"] and (
        held["number"],
        tuple(held["hosts"]),
        held["address"],
        held["credential"],
        held["lapse-after-s"],
    ) == (grant.number, grant.hosts, grant.address, grant.credential, grant.lapse_after_s)


def _find(document: PartnersDocument, name: str) -> dict:
    held = document.partners.get(name)
    if held is None:
        raise PartnerChangeError(404, f"no partner {name!r}")
    return held


def _check_number(held: dict | None, field: str, number: int) -> None:
    if held is not None and number <= held[field]:
        raise PartnerChangeError(
            409, f"{field}: {number} is not above {held[field]}, which holds", held[field]
        )


def _find_exporter(document: PartnersDocument, name: str, row: dict) -> str:
    for other, partner in document.partners.items():
        if other == name or partner["withdrawn"]:
            continue
        # A lapsed partner may return: its hosts and prefixes stay reserved.
        if any(
            (held["host"], held["prefix"]) == (row["host"], row["prefix"])
            for held in partner["exports"]
        ):
            return other
    return ""
