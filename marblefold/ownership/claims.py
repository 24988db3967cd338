"""The rule that decides which site owns a service, as pure functions.

A site that the operator does not list is always refused.  Among the listed
sites the current owner keeps the service while it renews its claim; otherwise the
order of the list decides.
"""

import enum
import json
from typing import NamedTuple

__all__ = ["Claim", "Owner", "Verdict", "find_clashes", "read_owners", "decide_claim"]


class Verdict(enum.Enum):
    """The decision on a claim."""

    # The site owns the service, under the epoch in the returned Owner.
    OWNER = "owner"
    # The site may own the service later; now another site does or takes precedence.
    WAITING = "waiting"
    REFUSED = "refused"


class Owner(NamedTuple):
    """The owner of a service, as stored in the service's register."""

    site: str
    agent: str
    epoch: int
    # Increases with every renewal, so that other agents see that the owner still renews.
    renewals: int

    def pack(self) -> bytes:
        """Serializes the owner."""
        return json.dumps(list(self)).encode()

    @classmethod
    def read(cls, data: bytes) -> "Owner":
        """Parses a stored owner; empty bytes mean that there is none."""
        return cls(*json.loads(data)) if data else cls("", "", 0, 0)


class Claim(NamedTuple):
    """A claim of a site's agent to a service."""

    site: str
    agent: str
    # The epoch and renewals that the agent wrote last, according to its disk.
    epoch: int
    renewals: int


def decide_claim(
    listed_sites: tuple[str, ...],
    current: Owner,
    claim: Claim,
    is_lapsed: bool,
    rivals: frozenset[str] = frozenset(),
) -> tuple[Verdict, Owner]:
    """Decides a claim. Returns the verdict and the owner that the register should hold then.

    is_lapsed: the claimant saw the register unchanged for longer than a lease.
    rivals: the other listed sites that claim the service at this time.
    """
    if claim.site not in listed_sites:
        return Verdict.REFUSED, current
    if not current.site:
        is_first = all(
            listed_sites.index(claim.site) <= listed_sites.index(rival) for rival in rivals
        )
        if not is_first:
            return Verdict.WAITING, current
        return Verdict.OWNER, Owner(claim.site, claim.agent, current.epoch + 1, 0)
    # Only the current owner knows the latest renewal: a copy of its disk has an older one,
    # and an empty disk has none.
    is_current_owner = (current.site, current.agent, current.epoch, current.renewals) == (
        claim.site,
        claim.agent,
        claim.epoch,
        claim.renewals,
    )
    if is_current_owner:
        return Verdict.OWNER, current._replace(renewals=current.renewals + 1)
    # Leases must expire first, also if the operator's record ended the ownership.
    if not is_lapsed:
        is_same_site = current.site == claim.site
        return (Verdict.REFUSED if is_same_site else Verdict.WAITING), current
    # The lapsed owner is no rival: it does not renew, although it may still send claims.
    candidates = (rivals - {current.site}) | {claim.site}
    preferred = min((site for site in candidates if site in listed_sites), key=listed_sites.index)
    if preferred != claim.site:
        return Verdict.WAITING, current
    return Verdict.OWNER, Owner(claim.site, claim.agent, current.epoch + 1, 0)


def find_clashes(
    claimants_by_service: dict[str, set[tuple[str, str]]],
    owners: dict[str, Owner],
) -> dict[str, list[str]]:
    """Returns the services with conflicting claims, and the claimants other than the owner."""
    clashes = {}
    for upstream, claimants in claimants_by_service.items():
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
    """Parses the operator's record: the sites that may own each service, in order of preference."""
    if not data:
        return {}
    return {upstream: tuple(sites) for upstream, sites in json.loads(data)["services"].items()}
