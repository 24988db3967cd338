"""Who owns a service: one rule, as pure functions.

A site that the operator does not list is refused, always.  Among those listed
the present owner stays while it renews; else the order of the list decides.
"""

import enum
import json
from typing import NamedTuple

__all__ = ["Claim", "Owner", "Verdict", "find_clashes", "read_owners", "decide_claim"]


class Verdict(enum.Enum):
    """What becomes of a claim."""

    # The site owns the service, under the epoch that comes with it.
    OWNER = "owner"
    # The site may come to own it; another does now.
    WAITING = "waiting"
    REFUSED = "refused"


class Owner(NamedTuple):
    """What the register of one service holds."""

    site: str
    agent: str
    epoch: int
    # Rises with every renewal, so that anybody can see them going on.
    renewals: int

    def pack(self) -> bytes:
        """The owner as bytes."""
        return json.dumps(list(self)).encode()

    @classmethod
    def read(cls, data: bytes) -> "Owner":
        """The owner in the bytes; nothing means that nobody is."""
        return cls(*json.loads(data)) if data else cls("", "", 0, 0)


class Claim(NamedTuple):
    """A site's agent wants a service for its site."""

    site: str
    agent: str
    # The epoch and renewals that the agent's disk says it wrote last.
    epoch: int
    renewals: int


def decide_claim(
    listed: tuple[str, ...],
    held: Owner,
    claim: Claim,
    is_lapsed: bool,
    rivals: frozenset[str] = frozenset(),
) -> tuple[Verdict, Owner]:
    """The verdict on a claim, and what the register should hold then.

    is_lapsed: the claimant saw the register unchanged for longer than a lease.
    rivals: the other listed sites that claim it just now.
    """
    if claim.site not in listed:
        return Verdict.REFUSED, held
    if not held.site:
        is_first = all(listed.index(claim.site) <= listed.index(rival) for rival in rivals)
        if not is_first:
            return Verdict.WAITING, held
        return Verdict.OWNER, Owner(claim.site, claim.agent, held.epoch + 1, 0)
    # The present owner, as it knows itself: a copy of its disk knows less,
    # and an empty disk knows nothing.
    is_present = (held.site, held.agent, held.epoch, held.renewals) == (
        claim.site,
        claim.agent,
        claim.epoch,
        claim.renewals,
    )
    if is_present:
        return Verdict.OWNER, held._replace(renewals=held.renewals + 1)
    # Also where the operator's record ends an ownership, its leases must run out.
    if not is_lapsed:
        is_same_name = held.site == claim.site
        return (Verdict.REFUSED if is_same_name else Verdict.WAITING), held
    # The owner that lapsed is no rival: it does not renew, whatever it sends.
    candidates = (rivals - {held.site}) | {claim.site}
    best = min((site for site in candidates if site in listed), key=listed.index)
    if best != claim.site:
        return Verdict.WAITING, held
    return Verdict.OWNER, Owner(claim.site, claim.agent, held.epoch + 1, 0)


def find_clashes(
    claimed: dict[str, set[tuple[str, str]]],
    owners: dict[str, Owner],
) -> dict[str, list[str]]:
    """The services that more than their owner claims, with the other claimants."""
    clashes = {}
    for upstream, claimants in claimed.items():
        owner = owners.get(upstream)
        others = sorted(
            f"{site}@{agent}"
            for site, agent in claimants
            if owner is None or (site, agent) != (owner.site, owner.agent)
        )
        if others and (owner is not None or len(claimants) > 1):
            clashes[upstream] = others
    return clashes


def read_owners(data: bytes) -> dict[str, tuple[str, ...]]:
    """The operator's record: which sites may own each service, in order."""
    if not data:
        return {}
    return {upstream: tuple(sites) for upstream, sites in json.loads(data)["services"].items()}
