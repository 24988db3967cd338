"""The partners' document, and a pure function for each change of it.

All partners are in one register, so that a conflict between two of them is
detected by the same compare-and-set that stores the change.
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
    """A refused change, with the HTTP status and the reason for the caller."""

    def __init__(self, status: int, reason: object, number: int | None = None) -> None:
        super().__init__(str(reason))
        self.status = status
        self.reason = reason
        # The current number, if the change had one that is not above it.
        self.number = number


class PartnersDocument(NamedTuple):
    """All partners by name, as JSON objects."""

    partners: dict[str, dict]

    def pack(self) -> bytes:
        """Serializes the document; equal documents give equal bytes."""
        return json.dumps({"partners": self.partners}, sort_keys=True).encode()

    @classmethod
    def read(cls, data: bytes) -> "PartnersDocument":
        """Parses a stored document; empty bytes give an empty document."""
        return cls(json.loads(data)["partners"] if data else {})

    def with_partner(self, name: str, partner: dict) -> "PartnersDocument":
        """Returns the document with the partner added or replaced."""
        return PartnersDocument({**self.partners, name: partner})


def grant_partner(document: PartnersDocument, name: str, grant: Grant) -> PartnersDocument:
    """Adds or replaces a partner by an operator's grant.

    Raises PartnerChangeError (409) if the number is not above the stored one.
    """
    current = document.partners.get(name)
    # Resent after a lost response: it was accepted before, so it is not refused.
    if current is not None and _is_same_grant(current, grant):
        return document
    _check_number(current, "number", grant.number)
    # The partner must resend its exports under the new grant.
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
            "exports-number": current["exports-number"] if current else 0,
            "exports": [],
        },
    )


def withdraw_partner(document: PartnersDocument, name: str) -> PartnersDocument:
    """Withdraws a partner for an operator. Raises PartnerChangeError (404) if it is unknown."""
    current = _find(document, name)
    return document.with_partner(name, {**current, "withdrawn": True, "exports": []})


def put_exports(document: PartnersDocument, name: str, sent: Exports) -> PartnersDocument:
    """Applies exports that a partner sent; the same exports again serve as a heartbeat.

    Raises PartnerChangeError: 400 not granted, 403 withdrawn, 404 unknown, 409 number or conflict.
    """
    current = _find(document, name)
    if current["withdrawn"]:
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
    is_same = sent.number == current["exports-number"] and rows == current["exports"]
    if not is_same:
        _check_number(current, "exports-number", sent.number)
    errors = [
        f"exports[{index}].host: {row['host']!r} is not granted to {name}"
        for index, row in enumerate(rows)
        if row["host"] not in current["hosts"]
    ]
    for index, row in enumerate(rows):
        other = _find_other_exporter(document, name, row)
        if other:
            errors.append(f"exports[{index}].prefix: {other} exports the same host and prefix")
    if errors:
        raise PartnerChangeError(409 if "same host" in errors[0] else 400, errors)
    return document.with_partner(
        name,
        {
            **current,
            "exports-number": sent.number,
            "exports": rows,
            "lapsed": False,
            "reads": current["reads"] + 1,
        },
    )


def mark_lapsed(document: PartnersDocument, name: str, reads: int) -> PartnersDocument:
    """Marks a partner as lapsed because it has not sent its exports for too long.

    Changes nothing if it has sent them since `reads` was observed.
    """
    current = document.partners.get(name)
    if current is None or current["reads"] != reads or current["lapsed"]:
        return document
    return document.with_partner(name, {**current, "lapsed": True})


def _is_same_grant(current: dict, grant: Grant) -> bool:
    return not current["withdrawn"] and (
        current["number"],
        tuple(current["hosts"]),
        current["address"],
        current["credential"],
        current["lapse-after-s"],
    ) == (grant.number, grant.hosts, grant.address, grant.credential, grant.lapse_after_s)


def _find(document: PartnersDocument, name: str) -> dict:
    current = document.partners.get(name)
    if current is None:
        raise PartnerChangeError(404, f"no partner {name!r}")
    return current


def _check_number(current: dict | None, field: str, number: int) -> None:
    if current is not None and number <= current[field]:
        raise PartnerChangeError(
            409, f"{field}: {number} is not above {current[field]}, which holds", current[field]
        )


def _find_other_exporter(document: PartnersDocument, name: str, row: dict) -> str:
    for other, partner in document.partners.items():
        if other == name or partner["withdrawn"]:
            continue
        # The hosts and prefixes of a lapsed partner stay reserved, as it may return.
        if any(
            (export["host"], export["prefix"]) == (row["host"], row["prefix"])
            for export in partner["exports"]
        ):
            return other
    return ""
